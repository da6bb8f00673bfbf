#!/usr/bin/env bash
# Runs all tests. Randomised tests use one fixed seed, so that each run gives
# the same verdict; make soak draws fresh seeds. Tests that KNOWN-RED.txt lists
# in a line "skip: TestName" or "skip: TestName/subtest" are passed over and
# printed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=20261204
mapfile -t randomised < <(git grep -l '"pgregory.net/rapid"' -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's|^|./|')
mapfile -t others < <(go list -f '{{.Dir}}' ./... | sed "s|^$PWD|.|" | grep -vxF -f <(printf '%s\n' "${randomised[@]}"))
skip=()
if [ -s KNOWN-RED.txt ]; then
	names=$(sed -n 's/^skip: *//p' KNOWN-RED.txt)
	if [ -n "$names" ]; then
		echo "passed over, see KNOWN-RED.txt:"
		echo "$names"
		# One pattern for each name, with each part of a subtest's name anchored.
		skip=(-skip "$(echo "$names" | sed -e 's|/|$/^|g' -e 's|^|^|' -e 's|$|$|' | paste -sd'|')")
	fi
fi
case ${1:-test} in
test)
	go test -count=1 -timeout 540s "${skip[@]}" "${others[@]}"
	go test -count=1 -timeout 540s "${skip[@]}" "${randomised[@]}" -rapid.seed="$seed"
	;;
soak)
	if [ -n "${SEED:-}" ]; then
		# One seed again, with the times of its faults; the logs are kept.
		SOAK_SEED=$SEED SOAK_LENGTH=${LENGTH:-20s} go test -count=1 -v -timeout 3600s ./soak
		exit
	fi
	SOAK_SEEDS=${SEEDS:-20} SOAK_LENGTH=${LENGTH:-20s} go test -count=1 -timeout 3600s -parallel 3 ./soak
	VOYAGE_SOAK=${SOAK:-10m} go test -count=1 -timeout 3600s "${skip[@]}" "${others[@]}"
	go test -count=1 -timeout 3600s "${skip[@]}" "${randomised[@]}" -rapid.checks="${CHECKS:-2000}"
	;;
esac
