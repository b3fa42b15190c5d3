#!/usr/bin/env bash
# Requests that arrive during a planned stop: a half-sent body, a kept connection, and calls in series until the process
# has gone. Each request that reaches a backend server must get an answer.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.58
source ../lib/cluster.sh

STORE=$NET.0.1:7000
E1=$NET.3.1
write_entry_settings entry-1 "$E1" "$STORE" 5 4
start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000"
wait_until 5 curl -s "http://$STORE/runs"
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
serves() { [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: a.example' -H 'Attempt-Id: p' \
    -H 'Authorization: Bearer key' -H 'Deadline-Ms: 1000' "http://$E1:8080/plain/x")" = 200 ]; }
wait_until 10 serves
python3 callers.py "$E1" "$STORE" "${PIDS[entry-1]}" >"$WORK/answers"
wait "${PIDS[entry-1]}"
unset "PIDS[entry-1]"
diff expected.txt "$WORK/answers"
