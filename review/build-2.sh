#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it from anywhere, after
# the build of the deploy file. It needs the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/kit-2/main.rs
