#!/usr/bin/env bash
# Restarts all instances one after the other under load. Every process must exit by itself with code 0, no request may
# be cut off, and every check of the load tool must pass.
set -euo pipefail
BIN=$1 KV_TOKENS=40000 DISCOVERY_LIFETIME=1s
INSTANCES=3
. "$(dirname "$0")/../lib/cluster.sh"

# stop_instance NUMBER: stops both programs of an instance with SIGTERM and appends their exit codes to codes.
stop_instance() {
    local name
    kill -TERM "${PIDS[router-$1]}" "${PIDS[controller-$1]}"
    for name in "router-$1" "controller-$1"; do
        wait_until 30 is_gone "$name" || die "$name did not stop within 30 s of SIGTERM"
        local code=0
        wait "${PIDS[$name]}" || code=$?
        unset "PIDS[$name]"
        codes+=("$code")
    done
}

codes=()
start_system 3 1 "$INSTANCES" >&2
entries=()
for i in $(seq "$INSTANCES"); do
    entries+=(--entry "$(router_address "$i")")
done
start load "$BIN/pomelo-load" "${entries[@]}" --service "$(service_address 1)" --declarations "$WORK/before.yaml" \
    --length 25 --rate 8 --crest 2 --max-prompt 20000 --deadline-factor 4 --report "$WORK/report.json"
for i in $(seq "$INSTANCES"); do
    stop_instance "$i"
    start_instance "$i" "$INSTANCES"
    wait_until 15 is_ready "$i" || die "instance $i is not ready after its restart"
    wait_until 15 sees_instances "$INSTANCES" || die "instance 1 does not see all instances after restarting $i"
done
load_exit=0
wait "${PIDS[load]}" || load_exit=$?
unset "PIDS[load]"
tail -30 "$WORK/load.log" >&2
{
    echo "exit codes: ${codes[*]}"
    echo "load tool: $load_exit"
    echo "cut requests: $(cat "$WORK"/router-*.log | grep -c 'event=stopped.*cut=true' || true)"
} | expect
