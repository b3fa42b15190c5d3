#!/usr/bin/env bash
# A backend server refuses a call and writes the refusal once more on another kept connection, on which the call comes
# again. The repeated refusal must not be taken for the answer to a call that runs: the caller would be told that nothing
# ran, or the call would run once more.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.57
source ../lib/cluster.sh
source ../lib/oneentry.sh

start_one_entry
for i in 1 2 3; do
    pids=
    for j in 1 2 3; do
        call "busy$i$j" /once/busy/x >"$WORK/busy$j" &
        pids="$pids $!"
    done
    # shellcheck disable=SC2086
    wait $pids
    expect "call $i" "$(call "a$i" /once/repeated/x)" $'done\n200'
    expect "runs of call $i" "$(runs "a$i")" 1
done
