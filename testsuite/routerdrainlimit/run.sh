#!/usr/bin/env bash
# A router with a drain limit: a request that waits and one that streams must get an answer at the limit, although their
# deadlines come later. Without an end of its drain, the router would be killed with both open.
set -euo pipefail
BIN=$1 KV_TOKENS=2000 DISCOVERY_LIFETIME=1s POMELO_NET=127.54
. "$(dirname "$0")/../lib/cluster.sh"

eval "$(declare -f write_instance_settings | sed '1s/.*/write_default_settings ()/')"
write_instance_settings() {
    write_default_settings "$@"
    echo "drain_limit: 1s" >>"$WORK/router-$1.yaml"
}
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
    two_open() {
        curl -sf -H "Authorization: Bearer $OPERATOR_TOKEN" "http://$(router_address 1)/v1/operator/status" |
            grep -q '"open_requests":2'
    }
    wait_until 10 two_open
    kill -TERM "${PIDS[router-1]}"
    wait_until 10 is_gone router-1 || die "the drain has no end"
    wait "${PIDS[router-1]}" || echo "router: exit $?"
    unset "PIDS[router-1]"
    # shellcheck disable=SC2086
    wait $callers || echo "a caller got no answer"
    echo "waiting: $(fields verdict reason <"$WORK/waiting")"
    echo "stream: $(sed -n 's/^event: //p' "$WORK/stream" | paste -sd' ')" \
        "$(grep -A1 '^event: failure' "$WORK/stream" | sed -n 's/^data: //p' | fields verdict reason)"
} >"$WORK/output"
expect <"$WORK/output"
