#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it
# does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/src/services/papayalift ] || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 5 110 "$program" "$folder"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
