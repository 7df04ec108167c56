#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3. They need the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig3/main.rs
