#!/usr/bin/env bash
# Engines are killed during streams: every caller still gets its complete answer or an explicit failure.
set -euo pipefail
BIN=$1 KV_TOKENS=100000
. "$(dirname "$0")/../lib/cluster.sh"

start_system 5 1 2 >&2
start load "$BIN/pomelo-load" --entry "$(router_address 1)" --entry "$(router_address 2)" --service \
    "$(service_address 1)" --declarations "$WORK/before.yaml" --length 8 --rate 15 --max-prompt 60000 \
    --report "$WORK/report.json" --progress
wait_until 10 grep -q 'answered=[1-9][0-9]' "$WORK/load.log"
kill_hard engine-2
sleep 1
kill_hard engine-4
{
    wait "${PIDS[load]}" && echo "load: every check held" || echo "load: a check failed"
    unset "PIDS[load]"
    fields failed lost wrong double_runs false_not_run missing_runs <"$WORK/report.json"
    living=("$(engine_address 1)" "$(engine_address 3)" "$(engine_address 5)")
    memory_is_free() { [ "$(tokens_held_by "${living[@]}")" = 0 ]; }
    wait_until 15 memory_is_free || true
    echo "memory held: $(tokens_held_by "${living[@]}")"
} >"$WORK/output"
cat "$WORK/load.log" >&2
expect <"$WORK/output"
