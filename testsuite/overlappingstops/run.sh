#!/usr/bin/env bash
# Streams and plain calls at every moment of the planned stops of two instances, one second apart, with grace periods of
# different lengths. Calls that come when no caller should know the address any more used to be accepted, passed on and cut.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.69}
source ../lib/cluster.sh
source ../lib/oneentry.sh

start backend python3 -u backend.py "$NET.1.1" 8000
start platform "$BIN/platform-standin" "$STORE"
wait_until 10 listens "$NET.1.1" 8000
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
curl -s "http://$STORE/put?kind=servers&name=i-1" -d "{\"service\":\"s\",\"address\":\"$NET.1.1:8000\",
    \"zone\":\"a\",\"slots\":900,\"state\":\"ready\",\"born\":1}" >/dev/null
route() { # route NAME KIND
    echo "{\"name\":\"$1\",\"hostname\":\"a.example\",\"pathPrefix\":\"/$1/\",\"kind\":\"$2\",\"timeoutMs\":20000,
        \"targetLatencyMs\":200,\"service\":\"s\",\"maxAttempts\":2}"
}
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,
    \"routes\":[$(route plain non_idempotent),$(route stream streaming)],
    \"services\":[{\"name\":\"s\",\"maxConnections\":1000}],\"limits\":{},
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
# Each grace period has instances of its own, since addresses of processes that ended may still be bound for a moment.
for grace in 4 7; do
    instances=()
    for index in 1 2; do
        name=entry-$grace-$index
        write_entry_settings "$name" "$NET.$grace.$index" "$STORE" "$grace" 2
        start "$name" "$BIN/pomelo-entry" --settings "$WORK/$name.json"
        instances+=("$NET.$grace.$index" "${PIDS[$name]}")
    done
    for index in 1 2; do
        wait_until 10 grep -q "event=backend .*i-1" "$WORK/entry-$grace-$index.log"
        wait_until 5 grep -q "event=configuration version=2 " "$WORK/entry-$grace-$index.log"
    done
    timeout 60 python3 callers.py "$grace" "$WORK/backend.log" "${instances[@]}"
    for index in 1 2; do
        wait "${PIDS[entry-$grace-$index]}"
        unset "PIDS[entry-$grace-$index]"
    done
done
