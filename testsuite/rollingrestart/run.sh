#!/usr/bin/env bash
# All instances are stopped and started one after the other under load. Every process ends by itself with exit code 0,
# no request is cut off, and the load tool finds every answer whole.
set -euo pipefail
BIN=$1 KV_TOKENS=40000 DISCOVERY_LIFETIME=1s
INSTANCES=3
. "$(dirname "$0")/../lib/cluster.sh"

# stop_instance NUMBER: asks both programs to stop and adds their exit codes to the list.
stop_instance() {
    local name
    kill -TERM "${PIDS[router-$1]}" "${PIDS[controller-$1]}"
    for name in "router-$1" "controller-$1"; do
        wait_until 30 is_gone "$name" || die "$name does not stop"
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
    wait_until 15 is_ready "$i" || die "instance $i is not ready again"
    wait_until 15 sees_instances "$INSTANCES" || die "instance $i is not seen again"
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
