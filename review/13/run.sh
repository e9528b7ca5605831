#!/bin/sh
# Runs the case. 0: the rule held, 1: it was broken, 2: could not run.
# TROUBLE=0: without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
RECORD="review/13/record.txt" timeout -k 2 115 target/review-3/case-13
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
