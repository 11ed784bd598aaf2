#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/magnolia-gateway ] || exit 2
[ -x target/review-2/case-9 ] || exit 2
ulimit -n "$(ulimit -Hn)" 2>/dev/null
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/case-9 review/9
