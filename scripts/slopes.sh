#!/usr/bin/env bash
# Measures the cost of control when idle and under a steady load, for several
# numbers of workers and entry hosts. Prints one line of CSV per phase. The
# differences between the lines are the slopes in docs/CAPACITY.md.
#
#   scripts/slopes.sh WORKERS:HOSTS...
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
sampler=

measure_size() {
	WORKERS=$1
	local hosts=$2
	start_cluster tagline "$hosts"
	trap 'kill "$sampler" 2>/dev/null; stop_cluster || true' EXIT
	sleep 0.5
	bin/ctl import examples/tagline/sheet.csv >"$out/import.txt"
	wait_ready
	# It takes some seconds until all partitions are claimed and all allotments
	# are divided.
	sleep 6
	local processes=()
	for pid in "${gates[@]}"; do processes+=(-process "gate:$pid"); done
	for pid in "${placers[@]}"; do processes+=(-process "placer:$pid"); done
	bin/measure -workers "$workers_url" -store "$store_url" "${processes[@]}" -period 500ms \
		-marks "$out/marks" -out "$out/slopes" >"$out/slopes.txt" &
	sampler=$!
	echo "$(date +%s%N) rest" >>"$out/marks"
	sleep 8
	echo "$(date +%s%N) -" >>"$out/marks"
	bin/load -mix examples/tagline/steady.json -gates "$(IFS=,; echo "${gate_urls[*]}")" -csv "$out/slopes-load.csv" >"$out/slopes-load.txt" &
	local load=$!
	sleep 2
	echo "$(date +%s%N) load" >>"$out/marks"
	sleep 9
	echo "$(date +%s%N) -" >>"$out/marks"
	wait "$load"
	kill -TERM "$sampler"
	wait "$sampler"
	trap - EXIT
	stop_cluster
	if [ -z "$header" ]; then
		header="workers,hosts,$(head -1 "$out/slopes-phases.csv")"
		echo "$header"
	fi
	tail -n +2 "$out/slopes-phases.csv" | sed -e "s/^/$1,$hosts,/"
	echo "# load average $(cut -d' ' -f1-3 /proc/loadavg); waited p50..max $(sed -n 2p "$out/slopes-load.csv" | cut -d, -f8-11)"
}

header=
for size in "${@:-50:3}"; do
	measure_size "${size%:*}" "${size#*:}"
done
