#!/usr/bin/env bash
# Builds the programs, runs a complete system on loopback addresses under mixed load and faults, and checks the result.
# Usage: scripts/demo.sh [--quick]
# The last line is "result=pass ..." (exit code 0) or "result=fail ..." (exit code 1). POMELO_NET sets the first two
# bytes of the addresses, 127.40 by default.
set -euo pipefail
cd "$(dirname "$0")/.."

QUICK=no
case "${1:-}" in
--quick) QUICK=yes ;;
"") ;;
*)
    sed -n '3,5s/^# //p' "$0"
    [ "$1" = --help ] && exit 0
    exit 2
    ;;
esac

scripts/install.sh
cmake --preset release >/dev/null
cmake --build --preset release | tail -1
BIN=$PWD/build/bin

ENGINES=16
SERVICES=3
INSTANCES=9
if [ "$QUICK" = yes ]; then
    # Engines have a quarter of the usual memory, so that a prompt larger than two engines takes little time to compute.
    KV_TOKENS=100000
    LOAD_SECONDS=15
    MAX_PROMPT=100000
    BIG_PROMPT=250000
    RATE=20
else
    KV_TOKENS=400000
    LOAD_SECONDS=60
    MAX_PROMPT=1000000
    BIG_PROMPT=900000
    RATE=20
fi
KILLED_ENGINE=5
KILLED_INSTANCE=4
DRAINED_INSTANCE=8

. testsuite/lib/cluster.sh

log() {
    echo "demo: $*"
}

# run_load SHAPE: starts the load and injects the faults while it runs; sets LOAD_EXIT to the load tool's exit code.
run_load() {
    local shape=$1 i entries=() services=()
    for i in $(seq "$INSTANCES"); do
        entries+=(--entry "$(router_address "$i")")
    done
    for i in $(seq "$SERVICES"); do
        services+=(--service "$(service_address "$i")")
    done
    start load "$BIN/pomelo-load" "${entries[@]}" "${services[@]}" --declarations "$WORK/before.yaml" \
        --declarations "$WORK/after.yaml" --shape "$shape" --length "$LOAD_SECONDS" --rate "$RATE" --crest 3 \
        --swing 5 --max-prompt "$MAX_PROMPT" --extra-prompt "$BIG_PROMPT@0.5" --report "$WORK/report.json" --progress
    sleep 3
    log "killing engine $KILLED_ENGINE"
    kill_hard "engine-$KILLED_ENGINE"
    sleep 2
    log "killing instance $KILLED_INSTANCE"
    kill_hard "router-$KILLED_INSTANCE"
    kill_hard "controller-$KILLED_INSTANCE"
    sleep 1
    log "draining instance $DRAINED_INSTANCE"
    ctl drain "instance-$DRAINED_INSTANCE"
    sleep 1
    log "changing the intent for short questions"
    ctl diff "$WORK/after.yaml" || true
    ctl apply --wait "$WORK/after.yaml"
    LOAD_EXIT=0
    wait "${PIDS[load]}" || LOAD_EXIT=$?
    unset "PIDS[load]"
    sed -n '/^class/,$p' "$WORK/load.log"
}

# Waits up to 30 s for the drained router to exit by itself; sets DRAIN_EXIT to its exit code or to still-running.
finish_drain() {
    DRAIN_EXIT=0
    if wait_until 30 is_gone "router-$DRAINED_INSTANCE"; then
        wait "${PIDS[router-$DRAINED_INSTANCE]}" || DRAIN_EXIT=$?
        unset "PIDS[router-$DRAINED_INSTANCE]"
    else
        DRAIN_EXIT=still-running
    fi
    log "exit code of the drained router: $DRAIN_EXIT"
}

# Prints the KV memory, in tokens, that the engines still running report as held.
held_tokens() {
    local i addresses=()
    for i in $(seq "$ENGINES"); do
        [ "$i" -eq "$KILLED_ENGINE" ] || addresses+=("$(engine_address "$i")")
    done
    tokens_held_by "${addresses[@]}"
}

nothing_held() {
    [ "$(held_tokens)" = 0 ]
}

# reported PATH: prints the number at a slash-separated path of the load tool's report, or 0 if it is absent.
reported() {
    python3 -c 'import json, sys
report = json.load(open(sys.argv[1]))
for key in sys.argv[2].split("/"):
    report = report.get(key, 0) if isinstance(report, dict) else 0
print(report)' "$WORK/report.json" "$1"
}

print_result() {
    local result=pass cut answered
    cut=$(reported "cuts/$(router_address "$DRAINED_INSTANCE")")
    answered=$(reported answered)
    if [ "$LOAD_EXIT" != 0 ] || [ "$DRAIN_EXIT" != 0 ] || [ "$LEAKED" != 0 ] || [ "$cut" != 0 ] \
        || [ "$answered" = 0 ] || [ "$(reported false_not_run)" != 0 ] || [ "$(reported missing_runs)" != 0 ]; then
        result=fail
    fi
    echo "result=$result answered=$answered rejected=$(reported rejected) wrong_answers=$(reported wrong)" \
        "double_runs=$(reported double_runs) lost=$(reported lost) memory_leaked_tokens=$LEAKED cut_by_drain=$cut"
    [ "$result" = pass ]
}

start_system "$ENGINES" "$SERVICES" "$INSTANCES"
log "$ENGINES engines, $SERVICES services, 1 platform and $INSTANCES instances are running"
run_load clipback
finish_drain
wait_until 15 nothing_held || log "engines still hold memory after 15 s"
LEAKED=$(held_tokens)
log "status of the instances:"
ctl status
print_result
