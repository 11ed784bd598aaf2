#!/bin/sh
# Builds the stand-ins and clients of the scripts in review/6 to review/10,
# with the compiler alone. The program of the deploy file is built by its own
# command.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    [ -f "review/$case/case.rs" ] || continue
    rustc --edition 2024 -O --cap-lints allow \
        -o "target/review-2/case-$case" "review/$case/case.rs"
done
