#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case3 ] || exit 2

timeout 118 review/bin/case3 review/3/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
