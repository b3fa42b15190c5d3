#!/usr/bin/env bash
# Full request path, from discovery to a verified answer: whole replies, streams, actions, and prompts larger than one
# engine.
set -euo pipefail
BIN=$1 KV_TOKENS=40000
. "$(dirname "$0")/../lib/cluster.sh"

start_system 3 1 3 >&2
issued=$(now_ms)
engines=("$(engine_address 1)" "$(engine_address 2)" "$(engine_address 3)")
endpoints() {
    curl -s "http://$(router_address 1)/v1/endpoints" | python3 -c '
import json, sys
body = json.load(sys.stdin)
print(sorted(e["instance"] for e in body["endpoints"]), body["lifetime_seconds"])'
}
all_are_listed() {
    [ "$(endpoints | grep -o "instance-" | wc -l)" = 3 ]
}
memory_is_free() {
    [ "$(tokens_held_by "${engines[@]}")" = 0 ]
}

{
    # Peers see an instance as alive shortly before they know that it admits requests; both happen within 3 s.
    wait_until 3 all_are_listed || true
    echo "endpoints: $(endpoints)"

    echo "whole: $(request 1 foremen '{"kind":"lookup","prompt":"What is a clip batch?","max_tokens":4}' \
        | fields verdict chunks digest text)"
    echo "other instance: $(request 3 hire-desk '{"kind":"lookup","prompt":"What is a clip batch?","max_tokens":4}' \
        | fields verdict chunks digest text)"
    echo "stream:"
    request 2 foremen '{"kind":"site_history","prompt":"Which notes apply?","max_tokens":3,"stream":true}'
    echo "action: $(request 1 foremen "$(action_body credit-1 "$issued" "credit 40")" | fields verdict chunks text)"
    echo "runs: $(runs_of credit-1 1)"
    echo "state: $(curl -s -H 'Authorization: Bearer token-foremen' \
        "http://$(router_address 2)/v1/actions/credit-1?issued_at_ms=$issued" | fields state verdict)"
    python3 -c 'print("{\"kind\":\"hire_history\",\"prompt\":\"" + "clip " * 80000 + "\",\"max_tokens\":2}")' >"$WORK/big.json"
    echo "larger than two engines: $(request 1 foremen "@$WORK/big.json" | fields verdict reason detail chunks digest)"
    wait_until 10 memory_is_free || true
    echo "memory held: $(tokens_held_by "${engines[@]}")"
    curl -s "http://$(router_address 1)/metrics" | grep -c '^pomelo_' | awk '{print "metrics: " ($1 > 10 ? "some" : "few")}'
} | expect
