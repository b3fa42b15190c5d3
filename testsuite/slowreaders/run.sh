#!/usr/bin/env bash
# Callers that read nothing are disconnected, with their streams at the backend servers, and take no memory from others. Callers
# that read slowly but steadily get their whole answers, and small requests go on beside them.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.87
source ../lib/cluster.sh
source ../lib/oneentry.sh

# The memory for answers is 0.2 of this, and the rest of the program takes some 15 MB. The limit that is checked leaves room for
# copies of a moment, but none for answers that are held without being counted.
MEMORY_MB=200
LIMIT_MB=100
start_one_entry $MEMORY_MB
for server in 2 3 4; do
    start "backend-$server" python3 -u backend.py "$NET.1.$server" 8000
    # The last one serves the small requests and the whole answers.
    service=$([ $server = 4 ] && echo t || echo s)
    curl -s "http://$STORE/put?kind=servers&name=i-$server" -d "{\"service\":\"$service\",\"zone\":\"a\",\"slots\":64,
        \"address\":\"$NET.1.$server:8000\",\"state\":\"ready\",\"born\":1}" >/dev/null
done
route() { # route PREFIX KIND SERVICE
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":30000,' "$1" "$1" "$2"
    printf '"targetLatencyMs":1000,"service":"%s","maxAttempts":2,"gapAimMs":2000}' "$3"
}
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[$(route /stream/ streaming s),
    $(route /whole/ idempotent t),$(route /small/ idempotent t)],\"limits\":{},
    \"services\":[{\"name\":\"s\",\"maxConnections\":100},{\"name\":\"t\",\"maxConnections\":100}],
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
# A server that does not listen yet costs the steady readers their head start.
for server in 1 2 3 4; do
    wait_until 10 curl -sf "http://$NET.1.$server:8000/small/small/x"
done
wait_until 5 grep -q "event=backend .*i-4" "$WORK/entry-1.log"
wait_until 5 grep -q "event=configuration version=2 " "$WORK/entry-1.log"
for kind in stream whole; do
    timeout 60 python3 readers.py "$ENTRY:8080" "${PIDS[entry-1]}" $LIMIT_MB "$kind"
done
expect "streams of callers that read nothing, cut at their servers" \
    "$(cat "$WORK"/backend*.log | grep -o 'cut stream-idle-' | wc -l)" 40
for number in $(seq 0 39); do
    grep -q "event=slow_reader id=stream-idle-$number " "$WORK/entry-1.log" || expect "slow_reader" "absent" "for $number"
done
curl -s "http://$ENTRY:9464/metrics" >"$WORK/metrics"
grep 'pomelo_slow_readers_total\|pomelo_memory' "$WORK/metrics" | grep -v '^#' | tr '\n' ' '
expect "memory that is still taken" "$(grep '^pomelo_memory_bytes' "$WORK/metrics" | cut -d ' ' -f 2 | sort -u)" 0
