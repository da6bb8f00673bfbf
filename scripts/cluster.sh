# Starts and stops a deployment of stand-ins and entry hosts on loopback. Other
# scripts source this file from the root of the repository.
#
#   start_cluster DEPLOYMENT HOSTS   starts stand-ins, gates and placers
#   stop_cluster                     stops all gracefully; its status is not
#                                    zero if one of them failed
#
# DEPLOYMENT is a directory in examples/. Logs go to out/DEPLOYMENT/. The arrays
# gates, placers and standins hold the process IDs.
#
# PORT_OFFSET, a multiple of 1000, is added to all ports, so that several
# clusters can run on one machine. PLACER_SETTINGS is added to the settings of
# the placers, for example '"policy": {"cooldown": false},'. WORKERS changes the
# number of workers.

gates=()
placers=()
standins=()
gate_urls=()

# First digits of all ports, in thousands. The examples use 7000 to 7999.
ports=$((7 + ${PORT_OFFSET:-0} / 1000))
store_url=http://127.0.0.1:${ports}400
hosts_url=http://127.0.0.1:${ports}500
workers_url=http://127.0.0.1:${ports}600
export CTL_STORE=$store_url CTL_HOSTS=$hosts_url

# shift_ports adds PORT_OFFSET to the ports of a settings file.
shift_ports() {
	sed -e "s/127\.0\.0\.1:7\([0-9][0-9][0-9]\)/127.0.0.1:$ports\1/"
}

# domains_of DEPLOYMENT prints its failure domains, one per line.
domains_of() {
	sed -n 's/.*"domains": \[\(.*\)\],.*/\1/p' "examples/$1/hosts.json" | tr ',' '\n' | tr -d '" '
}

# host_settings FILE NUMBER DOMAIN prints the settings of one entry host. Host 1
# uses the ports 711x and 712x, host 2 721x and 722x, and so on.
host_settings() {
	sed -e "s/127\.0\.0\.1:71\([12]\)/127.0.0.1:7$2\1/" \
		-e "s/\"failure_domain\": \"[^\"]*\"/\"failure_domain\": \"$3\"/" "$1" | shift_ports
}

wait_for() {
	local url=$1 limit=$2
	for _ in $(seq $((limit * 20))); do
		curl -fsS -o /dev/null "$url" 2>/dev/null && return 0
		sleep 0.05
	done
	echo "no answer from $url within $limit s" >&2
	return 1
}

start_standins() {
	shift_ports <"examples/$1/hosts.json" | sed -e "s/\"count\": [0-9]*/\"count\": ${WORKERS:-50}/" >"$out/hosts.json"
	bin/standin-store -listen "127.0.0.1:${ports}400" >"$out/store.log" 2>&1 &
	standins+=($!)
	bin/standin-hosts -listen "127.0.0.1:${ports}500" -file "$out/hosts.json" >"$out/hosts.log" 2>&1 &
	standins+=($!)
	bin/standin-worker -listen "127.0.0.1:${ports}600" -hosts "$out/hosts.json" >"$out/workers.log" 2>&1 &
	standins+=($!)
	wait_for "$store_url/calls" 5
	wait_for "$hosts_url/v1/hosts" 5
	wait_for "$workers_url/audit" 5
}

start_gate() {
	bin/gate -settings "$out/gate$1.json" >>"$out/gate$1.log" 2>&1 &
	gates[$1]=$!
}

start_placer() {
	bin/placer -settings "$out/placer$1.json" >>"$out/placer$1.log" 2>&1 &
	placers[$1]=$!
}

start_cluster() {
	local deployment=$1 hosts=$2
	out=out/$deployment
	rm -rf "$out"
	mkdir -p "$out"
	mapfile -t domains < <(domains_of "$deployment")
	start_standins "$deployment"
	for i in $(seq "$hosts"); do
		local domain=${domains[$(((i - 1) % ${#domains[@]}))]}
		host_settings "examples/$deployment/gate.json" "$i" "$domain" >"$out/gate$i.json"
		host_settings "examples/$deployment/placer.json" "$i" "$domain" |
			sed -e "s/^{\$/{${PLACER_SETTINGS:-}/" >"$out/placer$i.json"
		start_placer "$i"
		start_gate "$i"
		gate_urls+=("http://127.0.0.1:${ports}${i}12")
	done
}

wait_ready() {
	for i in "${!gates[@]}"; do
		wait_for "http://127.0.0.1:${ports}${i}11/ready" 20
		wait_for "http://127.0.0.1:${ports}${i}21/ready" 20
	done
}

stop_cluster() {
	local failed=0
	for pid in "${gates[@]}"; do kill -TERM "$pid" 2>/dev/null; done
	for pid in "${gates[@]}"; do wait "$pid" || failed=1; done
	for pid in "${placers[@]}"; do kill -TERM "$pid" 2>/dev/null; done
	for pid in "${placers[@]}"; do wait "$pid" || failed=1; done
	for pid in "${standins[@]}"; do kill -TERM "$pid" 2>/dev/null; done
	for pid in "${standins[@]}"; do wait "$pid" || failed=1; done
	gates=()
	placers=()
	standins=()
	gate_urls=()
	return $failed
}
