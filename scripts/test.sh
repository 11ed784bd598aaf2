#!/usr/bin/env bash
# Checks format and lints, then runs all tests. Warnings are errors.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
cargo build --workspace --bins --quiet
cargo test --workspace --quiet
