#!/usr/bin/env bash
# A part of a prompt crashes workers that have sent the first event on it.
# TROUBLE=0 does the same without the disruption.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/deadly_part ] || { echo "run review/build.sh first" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" target/review/deadly_part review/3
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
