#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It adds no package that the repository doesn't already use.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/review
