#!/usr/bin/env bash
# Runs all tests. Randomised tests use a fixed seed, so that every run gives the
# same result; make soak uses new seeds. Tests that KNOWN-RED.txt lists in a
# line "skip: TestName" or "skip: TestName/subtest" are skipped and printed.
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
		# One pattern per name. Each part of a subtest's name is anchored.
		skip=(-skip "$(echo "$names" | sed -e 's|/|$/^|g' -e 's|^|^|' -e 's|$|$|' | paste -sd'|')")
	fi
fi
# Fuzzes each decoder for the given number of inputs or time.
fuzz() {
	local package name
	git grep -o 'func Fuzz[A-Za-z]*' -- '*_test.go' | sed 's|\(.*\)/[^/]*:func \(.*\)|./\1 \2|' | while read -r package name; do
		go test -run xxx -fuzz "^$name\$" -fuzztime "$1" -parallel 2 "$package"
	done
}

case ${1:-test} in
test)
	go test -count=1 -timeout 540s "${skip[@]}" "${others[@]}"
	go test -count=1 -timeout 540s "${skip[@]}" "${randomised[@]}" -rapid.seed="$seed"
	fuzz 20000x
	;;
explore)
	if [ -n "${SEED:-}" ]; then
		# Repeats one seed and prints its timeline.
		EXPLORE_SEED=$SEED go test -count=1 -v -run '^TestExplore$' ./scheduler
		exit
	fi
	# The first of the seeds is the time, so that each call plays new ones.
	EXPLORE_SEEDS=${SEEDS:-2000} EXPLORE_FROM=${FROM:-$(date +%s)} go test -count=1 -v -timeout 3600s -run '^TestExplore$' ./scheduler
	;;
soak)
	if [ -n "${SEED:-}" ]; then
		# Repeats one seed and prints the times of its faults. The logs of
		# the hosts are kept if it fails.
		SOAK_SEED=$SEED SOAK_LENGTH=${LENGTH:-20s} go test -count=1 -v -timeout 3600s ./soak
		exit
	fi
	SOAK_SEEDS=${SEEDS:-20} SOAK_LENGTH=${LENGTH:-20s} go test -count=1 -timeout 3600s -parallel 3 ./soak
	VOYAGE_SOAK=${SOAK:-10m} go test -count=1 -timeout 3600s "${skip[@]}" "${others[@]}"
	go test -count=1 -timeout 3600s "${skip[@]}" "${randomised[@]}" -rapid.checks="${CHECKS:-2000}"
	fuzz 60s
	;;
esac
