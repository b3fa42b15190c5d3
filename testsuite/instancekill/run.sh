#!/usr/bin/env bash
# An instance is killed under load: other instances serve its callers, no action runs twice, and no engine leaks
# KV memory.
set -euo pipefail
BIN=$1 KV_TOKENS=40000
. "$(dirname "$0")/../lib/cluster.sh"

start_system 6 1 3 >&2
start load "$BIN/pomelo-load" --entry "$(router_address 1)" --entry "$(router_address 2)" --entry \
    "$(router_address 3)" --service "$(service_address 1)" --declarations "$WORK/before.yaml" --length 8 --rate 15 \
    --max-prompt 30000 --extra-prompt 90000@0.2 --extra-prompt 90000@0.4 --extra-prompt 90000@2 \
    --report "$WORK/report.json" --progress
wait_until 10 grep -q 'answered=[1-9][0-9]' "$WORK/load.log"
kill_hard router-2
kill_hard controller-2
{
    wait "${PIDS[load]}" && echo "load: every check held" || echo "load: a check failed"
    unset "PIDS[load]"
    fields lost wrong double_runs false_not_run missing_runs <"$WORK/report.json"
    engines=()
    for i in $(seq 6); do
        engines+=("$(engine_address "$i")")
    done
    memory_is_free() { [ "$(tokens_held_by "${engines[@]}")" = 0 ]; }
    wait_until 20 memory_is_free || true
    echo "memory held: $(tokens_held_by "${engines[@]}")"
} >"$WORK/output"
cat "$WORK/load.log" >&2
expect <"$WORK/output"
