#!/usr/bin/env bash
# Measures deployments on loopback: waiting time, packing, cost of control,
# distance from the fair shares, and work done while a failure domain is taken
# out and brought back. Writes tables, CSV files and plots to out/DEPLOYMENT/.
#
#   scripts/measure.sh [DEPLOYMENT...]
#
# Environment: HOSTS, the number of entry hosts (default: one per failure
# domain); PORT_OFFSET (see cluster.sh); PARTS, any of "day overload domain";
# SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh

sampler=

mark() { echo "$(date +%s%N) $1" >>"$out/marks"; }

# offer NAME MIX [ARGUMENTS...] sends the requests of a mix. Its table, CSV file
# and plot are named NAME.
offer() {
	local name=$1 mix=$2
	shift 2
	bin/load -mix "$mix" -gates "$(IFS=,; echo "${gate_urls[*]}")" ${SEED:+-seed "$SEED"} \
		-csv "$out/$name.csv" -plot "$out/$name.png" "$@" >"$out/$name.txt"
}

# set_delays DEPLOYMENT delays each call of the store by the round trip to
# another failure domain.
set_delays() {
	local millis=1
	[ "$1" = sandfjord ] && millis=3
	curl -fsS -o /dev/null -d "{\"slow_ms\": $millis}" "$store_url/switch"
}

start_sampler() {
	local processes=()
	for pid in "${gates[@]}"; do processes+=(-process "gate:$pid"); done
	for pid in "${placers[@]}"; do processes+=(-process "placer:$pid"); done
	bin/measure -workers "$workers_url" -store "$store_url" "${processes[@]}" -marks "$out/marks" \
		-out "$out/measure" -sheet "examples/$1/sheet.csv" -shares "overload=examples/$1/overload.json" >"$out/measure.txt" &
	sampler=$!
}

measure_day() {
	mark rest
	sleep 5
	mark day
	offer day "examples/$1/load.json"
	mark -
}

measure_overload() {
	# The samples omit the first seconds, in which the cell fills.
	offer overload "examples/$1/overload.json" &
	local load=$!
	sleep 3
	mark overload
	sleep 9
	mark -
	wait "$load"
}

measure_domain() {
	offer domain "examples/$1/domain.json" &
	local load=$!
	sleep 3
	mark "before"
	sleep 5
	mark "domain out"
	bin/ctl domain out "${domains[1]}" >"$out/ctl.txt"
	sleep 7
	mark "domain back"
	bin/ctl domain back "${domains[1]}" >>"$out/ctl.txt"
	sleep 8
	mark -
	wait "$load"
}

measure() {
	local deployment=$1
	domain_count=$(sed -n 's/.*"domains": \[\(.*\)\],.*/\1/p' "examples/$deployment/hosts.json" | tr ',' '\n' | wc -l)
	start_cluster "$deployment" "${HOSTS:-$domain_count}"
	trap 'kill "$sampler" 2>/dev/null; stop_cluster || true' EXIT
	sleep 0.5
	bin/ctl import "examples/$deployment/sheet.csv" >"$out/import.txt"
	wait_ready
	set_delays "$deployment"
	offer warm-up "examples/$deployment/load.json" -seed 99 -duration 4s
	start_sampler "$deployment"
	for part in ${PARTS:-day overload domain}; do "measure_$part" "$deployment"; done
	curl -fsS "$workers_url/audit" >"$out/audit.json"
	kill -TERM "$sampler"
	wait "$sampler"
	trap - EXIT
	stop_cluster
}

report() {
	echo "== $1: ${HOSTS:-$domain_count} entry hosts, load average $(cut -d' ' -f1-3 /proc/loadavg)"
	local reports=()
	for part in ${PARTS:-day overload domain}; do
		head -1 "$out/$part.txt"
		reports+=(-waiting "$part=$out/$part.csv")
	done
	echo
	bin/measure "${reports[@]}"
	cat "$out/measure.txt"
	echo "stand-in's audit: $(cat "$out/audit.json")"
}

for deployment in "${@:-tagline}"; do
	measure "$deployment"
	report "$deployment"
done
