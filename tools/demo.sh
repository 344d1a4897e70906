#!/usr/bin/env bash
# Builds everything and runs the Cooperativa's cell through one short day on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --quiet
exec target/debug/guavavane-standin demo "$@"
