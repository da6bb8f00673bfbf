#!/usr/bin/env bash
# Compares the placement policy with baselines: the same binary, mix and seed
# with one policy switched off at a time. Writes tables to out/baselines/. RUNS
# selects some of the runs, SEED changes the seed.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
results=out/baselines
mkdir -p "$results"

# compare NAME MIX SECONDS PLACER_SETTINGS [SWITCH] does one run. The samples
# omit the first three seconds, in which the cell fills. SWITCH injects faults
# into the workers.
compare() {
	local name=$1 mix=$2 seconds=$3
	PLACER_SETTINGS=$4
	start_cluster tagline 3
	trap 'kill "$sampler" 2>/dev/null; stop_cluster || true' EXIT
	sleep 0.5
	bin/ctl import examples/tagline/sheet.csv >"$out/import.txt"
	wait_ready
	local gates_text=$(IFS=,; echo "${gate_urls[*]}")
	bin/load -mix examples/tagline/load.json -gates "$gates_text" -seed 99 -duration 4s >"$out/warm-up.txt"
	if [ $# -gt 4 ]; then curl -fsS -o /dev/null -d "$5" "$workers_url/switch"; fi
	bin/measure -workers "$workers_url" -store "$store_url" -marks "$out/marks" -out "$results/$name" \
		-sheet examples/tagline/sheet.csv -shares "full=$mix" >"$results/$name.txt" &
	sampler=$!
	bin/load -mix "$mix" -gates "$gates_text" ${SEED:+-seed "$SEED"} -csv "$results/$name-load.csv" >"$results/$name-load.txt" &
	local load=$!
	sleep 3
	echo "$(date +%s%N) full" >>"$out/marks"
	sleep $((seconds - 3))
	echo "$(date +%s%N) -" >>"$out/marks"
	wait "$load"
	curl -fsS "$workers_url/audit" >"$results/$name-audit.json"
	kill -TERM "$sampler"
	wait "$sampler"
	trap - EXIT
	stop_cluster
	echo "== $name, load average $(cut -d' ' -f1-3 /proc/loadavg)"
	bin/measure -waiting "$name=$results/$name-load.csv"
	cat "$results/$name.txt"
	sed -e 's/"repeated":{[^}]*}/"repeated":{}/' "$results/$name-audit.json"
}

sampler=
all="packing random steady one-bid sizes declared failing no-cooldown shares arrival"
for name in ${RUNS:-$all}; do
	case $name in
	packing) compare packing examples/tagline/packing.json 12 '' ;;
	random) compare random examples/tagline/packing.json 12 '"policy": {"worker_choice": "random"},' ;;
	steady) compare steady examples/tagline/steady.json 12 '' ;;
	one-bid) compare one-bid examples/tagline/steady.json 12 '"limits": {"candidate_groups": 1},' ;;
	sizes) compare sizes examples/tagline/sizes.json 20 '' ;;
	declared) compare declared examples/tagline/sizes.json 20 '"policy": {"correct_sizes": false},' ;;
	failing) compare failing examples/tagline/steady.json 12 '' '{"worker": "w3", "fail": true}' ;;
	no-cooldown) compare no-cooldown examples/tagline/steady.json 12 '"policy": {"cooldown": false},' '{"worker": "w3", "fail": true}' ;;
	shares) compare shares examples/tagline/overload.json 12 '' ;;
	arrival) compare arrival examples/tagline/overload.json 12 '"policy": {"team_order": "arrival"},' ;;
	esac
done
