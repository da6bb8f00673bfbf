#!/usr/bin/env bash
# Starts stand-ins and three entry hosts on loopback, imports the example sheet,
# sends a mix of requests to all gates and prints the answers. Exits with a
# non-zero status if an answer is missing or wrong, or if a process does not
# stop gracefully.
#
#   scripts/try.sh [DEPLOYMENT]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh
deployment=${1:-tagline}
start_cluster "$deployment" 3
trap 'stop_cluster || true' EXIT
sleep 0.5
bin/ctl import "examples/$deployment/sheet.csv"
wait_ready
echo "deployment $deployment is ready; sending requests"
bin/load -mix "examples/$deployment/load.json" -gates "$(IFS=,; echo "${gate_urls[*]}")" -csv "$out/load.csv"
bin/ctl members
trap - EXIT
stop_cluster
echo "all processes stopped gracefully; logs and load.csv are in $out"
