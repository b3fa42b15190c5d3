#!/usr/bin/env bash
# Calls that arrive late in a planned stop of the only instance, when no caller should come any more: those that need not be
# complete by its end are refused before they are passed on, and the others are answered. They used to be accepted when
# they were predicted to end in time, and were cut when their server took longer.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.65}
source ../lib/cluster.sh
source ../lib/oneentry.sh

start backend python3 -u backend.py "$NET.1.1" 8000
start platform "$BIN/platform-standin" "$STORE"
wait_until 10 listens "$NET.1.1" 8000
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
write_entry_settings entry-1 "$ENTRY" "$STORE" 6 2
curl -s "http://$STORE/put?kind=servers&name=i-1" -d "{\"service\":\"s\",\"address\":\"$NET.1.1:8000\",
    \"zone\":\"a\",\"slots\":200,\"state\":\"ready\",\"born\":1}" >/dev/null
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[
    {\"name\":\"once\",\"hostname\":\"a.example\",\"pathPrefix\":\"/once/\",\"kind\":\"non_idempotent\",
     \"timeoutMs\":9000,\"targetLatencyMs\":200,\"service\":\"s\",\"maxAttempts\":2}],
    \"services\":[{\"name\":\"s\",\"maxConnections\":300}],\"limits\":{},
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
wait_until 10 grep -q "event=backend .*i-1" "$WORK/entry-1.log"
wait_until 5 grep -q "event=configuration version=2 " "$WORK/entry-1.log"
timeout 40 python3 callers.py "$ENTRY" "${PIDS[entry-1]}" "$WORK/backend.log"
wait "${PIDS[entry-1]}"
unset "PIDS[entry-1]"
