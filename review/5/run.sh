#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case_stop
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
exec timeout -s KILL 118 "$program" "${RECORD:-review/5/record.txt}"
