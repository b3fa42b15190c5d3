#!/usr/bin/env bash
# Answers of backend servers that are broken: cut, reset while the request is written, malformed, without end. Callers get a
# failure that says truly whether the call may have run, or an answer that is seen to be incomplete, and never a success.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.64}
source ../lib/cluster.sh
source ../lib/oneentry.sh

MEMORY_MB=100
SERVERS=100
addresses=$(seq -f "$NET.1.%g" 1 $SERVERS)
# shellcheck disable=SC2086
start backend python3 -u backend.py 8000 $addresses
start platform "$BIN/platform-standin" "$STORE"
wait_until 10 listens "$NET.1.$SERVERS" 8000
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
write_entry_settings entry-1 "$ENTRY" "$STORE" 8 2 a $MEMORY_MB
for server in $(seq $SERVERS); do
    curl -s "http://$STORE/put?kind=servers&name=i-$server" -d "{\"service\":\"s\",\"zone\":\"a\",\"slots\":64,
        \"address\":\"$NET.1.$server:8000\",\"state\":\"ready\",\"born\":1}" >/dev/null
done
route() { # route NAME KIND
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"/%s/","kind":"%s","timeoutMs":8000,' "$1" "$1" "$2"
    printf '"targetLatencyMs":1000,"service":"s","maxAttempts":2,"resumable":true,"gapAimMs":250}'
}
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[$(route plain idempotent),
    $(route once non_idempotent),$(route stream streaming)],\"limits\":{},\"services\":[{\"name\":\"s\",\"maxConnections\":100}],
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
wait_until 10 grep -q "event=backend .*i-$SERVERS" "$WORK/entry-1.log"
wait_until 5 grep -q "event=configuration version=2 " "$WORK/entry-1.log"
timeout 90 python3 callers.py "$ENTRY" "${PIDS[entry-1]}" $MEMORY_MB "$WORK/backend.log"
