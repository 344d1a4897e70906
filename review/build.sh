#!/bin/sh
# Builds the stand-ins of the review; needs the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
