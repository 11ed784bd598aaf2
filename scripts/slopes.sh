#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md: one JSON line for each.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/release/magnolia-slopes"
