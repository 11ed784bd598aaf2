#!/usr/bin/env bash
# Checks format and lints, then runs all tests. Warnings are errors.
# Tests that KNOWN-RED.txt names in a line "test: NAME" are passed over.
set -euo pipefail
cd "$(dirname "$0")/.."

known_red=()
while read -r name; do
    known_red+=(--skip "$name")
done < <(sed -n 's/^ *test: //p' KNOWN-RED.txt)

cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
cargo build --workspace --bins --quiet
cargo test --workspace --quiet -- ${known_red[@]+--exact "${known_red[@]}"}
