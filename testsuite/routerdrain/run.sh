#!/usr/bin/env bash
# A draining router leaves discovery, completes its open stream and exits with code 0. A router whose controller does
# not respond admits no requests, completes its open stream, and admits requests again when the controller responds.
set -euo pipefail
BIN=$1 KV_TOKENS=40000 DISCOVERY_LIFETIME=1s
. "$(dirname "$0")/../lib/cluster.sh"

start_system 2 1 2 >&2
stream_body() {
    echo "{\"kind\":\"lookup\",\"prompt\":\"$1\",\"max_tokens\":300,\"stream\":true,\"deadline_ms\":60000}"
}
in_discovery() {
    curl -sf "http://$(router_address 2)/v1/endpoints" | grep -q "\"$(router_address "$1")\""
}
not_in_discovery() {
    ! in_discovery "$1"
}
not_ready() {
    ! curl -sf "http://$(router_address "$1")/readyz"
}
chunks_of() {
    grep -c '^id: ' "$1"
}
end_event_of() {
    grep -A1 '^event: ' "$1" | sed -n 's/^event: //p; s/.*"count":\([0-9]*\).*/\1/p' | paste -sd' '
}

{
    request 1 foremen "$(stream_body silence)" -N >"$WORK/silence" &
    caller=$!
    wait_until 10 grep -q '^id: 0$' "$WORK/silence"
    kill -STOP "${PIDS[controller-1]}"
    wait_until 10 not_ready 1 && echo "silent controller: not ready"
    echo "silent controller: $(request 1 foremen '{"kind":"lookup","prompt":"a"}' | fields verdict reason)"
    kill -CONT "${PIDS[controller-1]}"
    wait_until 10 curl -sf "http://$(router_address 1)/readyz" && echo "controller back: ready"
    wait "$caller"
    echo "stream through the silence: $(chunks_of "$WORK/silence") chunks, $(end_event_of "$WORK/silence")"

    wait_until 10 in_discovery 1
    request 1 foremen "$(stream_body drain)" -N >"$WORK/drain" &
    caller=$!
    wait_until 10 grep -q '^id: 0$' "$WORK/drain"
    kill -TERM "${PIDS[router-1]}"
    wait_until 10 not_in_discovery 1 && echo "draining: left discovery"
    wait "${PIDS[router-1]}" && echo "drained: exit 0"
    unset "PIDS[router-1]"
    wait "$caller"
    echo "stream through the drain: $(chunks_of "$WORK/drain") chunks, $(end_event_of "$WORK/drain")"
} >"$WORK/output"
expect <"$WORK/output"
