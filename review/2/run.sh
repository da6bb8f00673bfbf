#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
options=()
if [ "${TROUBLE:-1}" = 0 ]; then
	options=(-calm)
fi
exec timeout -k 5 115 target/review-testbed "${options[@]}" ends review/2
