#!/usr/bin/env bash
# A worker sends a copy of an answer, late, and answers a long request early.
# TROUBLE=0 does the same without the disruption.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/late_copy ] || { echo "run review/build.sh first" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" target/review/late_copy review/5
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
