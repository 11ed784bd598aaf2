#!/usr/bin/env bash
# Runs the measures of the promises beside the naive baseline: one JSON line
# for each measure. Exits 1 if a bound is broken.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/release/magnolia-measure"
