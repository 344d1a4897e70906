#!/usr/bin/env bash
# Fails if a name of the platform's wire stands outside platform/, or a product crate depends on
# platform/, or the sources name the users' bench.
set -euo pipefail
cd "$(dirname "$0")/.."

names='Config\.Put|Config\.Get|Evacuate\.|Instances\.|LastSeen|HeartbeatAddr|ColdLeftMs|MayMiss|AntiAffinity|TightlyCoupled|GUAVAVANE_CONFIG|X-Guavavane-(Deadline|Expect|Lease|Fencing)'
if grep -rnE "$names" crates src --include='*.rs'; then
  echo "a name of the platform's wire stands outside platform/"
  exit 1
fi
if grep -n 'guavavane_platform' crates/*/Cargo.toml; then
  echo "a product crate depends on platform/"
  exit 1
fi
if grep -rnE 'fleetbench|cisg-vane' crates src platform --include='*.rs'; then
  echo "the sources name the users' bench"
  exit 1
fi
