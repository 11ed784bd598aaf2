#!/bin/sh
# Plays the case `spoiled-answers`; TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
TROUBLE=${TROUBLE:-1} target/review-3/lab-3 spoiled-answers "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
