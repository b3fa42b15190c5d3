#!/usr/bin/env bash
# Answers without end, events without end and large bodies of many waiting requests must not take an instance beyond the memory
# that it is given: the platform would kill it with all its open requests. Small requests go on beside them.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.53
source ../lib/cluster.sh
source ../lib/oneentry.sh

MEMORY_MB=100
start_one_entry $MEMORY_MB
for server in 2 3 4 5; do
    start "backend-$server" python3 -u backend.py "$NET.1.$server" 8000
    # The fifth one serves the small requests, since breaks take the others out of use for a moment.
    service=$([ $server = 5 ] && echo t || echo s)
    curl -s "http://$STORE/put?kind=servers&name=i-$server" -d "{\"service\":\"$service\",\"zone\":\"a\",\"slots\":64,
        \"address\":\"$NET.1.$server:8000\",\"state\":\"ready\",\"born\":1}" >/dev/null
done
route() { # route PREFIX KIND SERVICE
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":4000,' "$1" "$1" "$2"
    printf '"targetLatencyMs":1000,"service":"%s","maxAttempts":2,"gapAimMs":250}' "$3"
}
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[$(route /plain/ idempotent s),
    $(route /stream/ streaming s),$(route /small/ idempotent t)],\"limits\":{},
    \"services\":[{\"name\":\"s\",\"maxConnections\":100},{\"name\":\"t\",\"maxConnections\":100}],
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
wait_until 5 grep -q "event=backend .*i-5" "$WORK/entry-1.log"
wait_until 5 grep -q "event=configuration version=2 " "$WORK/entry-1.log"
for flood in bodies endless event; do
    timeout 40 python3 flood.py "$ENTRY:8080" "${PIDS[entry-1]}" $MEMORY_MB "$flood"
    sleep 2
done
