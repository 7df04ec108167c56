#!/bin/sh
# Builds the stand-ins of the second review's scripts, with the compiler alone: they use no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig2 review/rig2/main.rs
