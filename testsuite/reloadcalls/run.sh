#!/usr/bin/env bash
# Reload, loss of the store and a configuration without their route must neither end nor hold calls that were accepted:
# one that waits for a server and a stream that has begun.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.59
source ../lib/cluster.sh

STORE=$NET.0.1:7000
E1=$NET.3.1
write_entry_settings entry-1 "$E1" "$STORE" 4
route() { # route PREFIX KIND: prints a route with a long time limit
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":60000,' "$1" "$1" "$2"
    printf '"targetLatencyMs":200,"service":"s","maxAttempts":2,"gapAimMs":250}'
}
configure() { # configure VERSION ROUTES
    curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":$1,\"routes\":[$2],
        \"services\":[{\"name\":\"s\",\"maxConnections\":100}],\"limits\":{},
        \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
}
call() { # call NAME PATH: prints the status
    curl -sN -m 8 -o "$WORK/$1.body" -w '%{http_code}\n' -H "Host: a.example" -H "Attempt-Id: $1" \
        -H "Authorization: Bearer key" -H "Deadline-Ms: 60000" "http://$E1:8080$2" || echo "no answer"
}
logged() { grep -q "$1" "$WORK/entry-1.log"; }
serves() { [ "$(call p /plain/x)" = 200 ]; }

start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000"
wait_until 5 curl -s "http://$STORE/runs"
configure 2 "$(route /plain/ idempotent),$(route /slow/ streaming),$(route /other/ idempotent)"
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
wait_until 10 serves

call stream /slow/x >"$WORK/stream" &
stream=$!
wait_until 5 grep -q '^id: 1$' "$WORK/stream.body"
curl -s -X POST "http://$STORE/remove?kind=servers&name=i-0" >/dev/null
wait_until 5 logged 'event=backend_gone backend=i-0'
call waiting /plain/x >"$WORK/waiting" &
waiting=$!
wait_until 5 logged 'event=waiting id=waiting '
echo "not a settings file" >"$WORK/entry-1.json"
kill -HUP "${PIDS[entry-1]}"
wait_until 5 logged 'event=reload readable=false'
configure 3 "$(route /other/ idempotent)"
wait_until 5 logged 'event=configuration version=3'
curl -s -X POST "http://$STORE/put?kind=servers&name=i-0" -d \
    "{\"service\":\"s\",\"address\":\"$NET.1.1:8000\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":2}" >/dev/null
wait "$waiting"
curl -s -X POST "http://$STORE/away" >/dev/null
wait_until 5 logged 'event=dependency_lost dependency=store'
echo "waiting: $(cat "$WORK/waiting")" >"$WORK/answers"
echo "while the store is away: $(call away /other/x)" >>"$WORK/answers"
echo "route without a place in the new configuration: $(call dropped /plain/x)" >>"$WORK/answers"
kill -0 "$stream" && echo "stream: open" >>"$WORK/answers"
diff expected.txt "$WORK/answers"
