#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start, into target/.
set -euo pipefail
cd "$(dirname "$0")/testbed"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-testbed .
