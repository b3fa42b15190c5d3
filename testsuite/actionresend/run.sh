#!/usr/bin/env bash
# Resends non-idempotent actions to the same and to other instances: each action runs at most once, and no caller is
# told "not_run" about an action that ran.
set -euo pipefail
BIN=$1 KV_TOKENS=40000
. "$(dirname "$0")/../lib/cluster.sh"

start_system 1 2 3 >&2
issued=$(now_ms)

# send INSTANCE KEY TEXT: sends an action and prints the verdict, reason and text of the reply.
send() {
    request "$1" foremen "$(action_body "$2" "$issued" "$3")" | fields verdict reason text
}

set_faults() {
    local i
    for i in 1 2; do
        curl -sf -o /dev/null --data-binary "$1" "http://$(service_address "$i")/faults"
    done
}

{
    echo "first: $(send 1 done-1 "credit 40")"
    echo "resent to another instance: $(send 2 done-1 "credit 40")"
    echo "resent to the same instance: $(send 1 done-1 "credit 40")"
    echo "runs: $(runs_of done-1 2)"

    set_faults '{"lose_answers": 1}'
    echo "answer lost: $(send 1 lost-1 "credit 50")"
    set_faults '{"lose_answers": 0}'
    echo "resent to another instance: $(send 2 lost-1 "credit 50")"
    echo "runs: $(runs_of lost-1 2)"

    set_faults '{"refusing": true}'
    echo "refused: $(DEADLINE_MS=1500 send 1 refused-1 "credit 60" | cut -d' ' -f1)"
    echo "runs: $(runs_of refused-1 2)"
    set_faults '{"refusing": false}'
    echo "resent to another instance: $(send 2 refused-1 "credit 60")"
    echo "runs: $(runs_of refused-1 2)"

    set_faults '{"delay_ms": 3000}'
    send 3 cut-1 "credit 70" >"$WORK/cut-1" &
    sender=$!
    sleep 1
    echo "resent while it runs: $(DEADLINE_MS=500 send 2 cut-1 "credit 70")"
    kill_hard router-3
    kill_hard controller-3
    wait "$sender" || true
    echo "resent after its instance died: $(send 2 cut-1 "credit 70" | cut -d' ' -f1)"
    sleep 3
    echo "runs: $(runs_of cut-1 2)"
} >"$WORK/output"
expect <"$WORK/output"
