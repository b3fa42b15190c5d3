#!/usr/bin/env bash
# A backend server answers a call that it has run with 408, 429 or 503, without saying that the call has not run. Callers take
# these statuses for a promise that nothing ran, so they must not get them.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.54
source ../lib/cluster.sh
source ../lib/oneentry.sh

start_one_entry
expect "a call that ran" "$(call good /once/run/x)" $'done\n200'
for status in 503 429 408; do
    expect "status $status" "$(call "a$status" "/once/$status/x" | tail -n 1)" 502
    expect "runs of the call with $status" "$(runs "a$status")" 1
    # Breaks of the only backend server take it out of use for a moment.
    sleep 1
done
