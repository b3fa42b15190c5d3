#!/usr/bin/env bash
# A second signal to a draining router: a request that waits, one that streams and one whose action cannot be cancelled
# in time must each get an answer with a true verdict before the process ends.
set -euo pipefail
BIN=$1 KV_TOKENS=2000 DISCOVERY_LIFETIME=1s POMELO_NET=127.56
. "$(dirname "$0")/../lib/cluster.sh"

start_system 1 1 1 >&2
body() { # body MAX_TOKENS STREAM
    echo "{\"kind\":\"lookup\",\"prompt\":\"a\",\"max_tokens\":$1,\"stream\":$2,\"deadline_ms\":60000}"
}

{
    request 1 foremen "$(body 1500 true)" -N >"$WORK/stream" &
    callers=$!
    wait_until 10 grep -q '^id: 0$' "$WORK/stream"
    request 1 foremen "$(body 1400 false)" >"$WORK/waiting" &
    callers="$callers $!"
    kill -STOP "${PIDS[service-1]}"
    DEADLINE_MS=60000 request 1 hire-desk "$(DEADLINE_MS=60000 action_body key-1 "$(now_ms)" a)" >"$WORK/action" &
    callers="$callers $!"
    in_progress() { grep -q 'event=drain_started open_requests=3' "$WORK/router-1.log"; }
    three_open() {
        curl -sf -H "Authorization: Bearer $OPERATOR_TOKEN" "http://$(router_address 1)/v1/operator/status" |
            grep -q '"open_requests":3'
    }
    wait_until 10 three_open || true
    kill -TERM "${PIDS[router-1]}"
    wait_until 5 in_progress || die "the requests are not open"
    kill -TERM "${PIDS[router-1]}"
    wait_until 5 is_gone router-1 || die "the router waits for the end of the drain"
    wait "${PIDS[router-1]}" || echo "router: exit $?"
    unset "PIDS[router-1]"
    # shellcheck disable=SC2086
    wait $callers || echo "a caller got no answer"
    kill -CONT "${PIDS[service-1]}"
    echo "waiting: $(fields verdict reason <"$WORK/waiting")"
    echo "action: $(fields verdict reason <"$WORK/action")"
    echo "stream: $(sed -n 's/^event: //p' "$WORK/stream" | paste -sd' ')" \
        "$(grep -A1 '^event: failure' "$WORK/stream" | sed -n 's/^data: //p' | fields verdict reason)"
} >"$WORK/output"
expect <"$WORK/output"
