#!/bin/sh
# Builds the stand-ins of the second review's scripts; needs rustc alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin-2 review/standin-2/main.rs
