#!/usr/bin/env bash
# A planned stop while calls are open: each caller gets an answer. A call that waits for a place must not hold its
# connection until the process ends, and a call without a first byte at the end of the stop must not be dropped.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.48
source ../lib/cluster.sh

STORE=$NET.0.1:7000
E1=$NET.3.1
cat >"$WORK/entry-1.json" <<JSON
{"nodeName":"entry-1","region":"r","zone":"a","ip":"$E1","internalPorts":[7340,7355],
 "listen":{"front":"$E1:8080","ready":"$E1:8081","directory":"$E1:8082"},"seeds":[],
 "platform":{"address":"$STORE"},"bounds":{"graceS":4}}
JSON
route() { # route PREFIX KIND SERVICE: prints a route with a time limit longer than the stop
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":60000,' "$1" "$1" "$2"
    printf '"targetLatencyMs":200,"service":"%s","maxAttempts":2,"gapAimMs":250}' "$3"
}
call() { # call NAME PATH: records status, Retry-After and the seconds since SIGTERM when the call ends
    local status
    status=$(curl -s -m 20 -o /dev/null -w '%{http_code} %header{retry-after}' -H "Host: a.example" \
        -H "Attempt-Id: $1" -H "Authorization: Bearer key" -H "Deadline-Ms: 60000" "http://$E1:8080$2") ||
        status="no answer"
    echo "$status" >"$WORK/$1.status"
}

start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000"
wait_until 5 curl -s "http://$STORE/runs"
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[
    $(route /plain/ idempotent s),$(route /hang/ idempotent s),$(route /once/ non_idempotent s),
    $(route /hang/once/ non_idempotent s),$(route /absent/ idempotent absent)],
    \"services\":[{\"name\":\"s\",\"maxConnections\":100},{\"name\":\"absent\",\"maxConnections\":100}],\"limits\":{},
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
serves() { [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: a.example' -H 'Attempt-Id: p' \
    -H 'Authorization: Bearer key' -H 'Deadline-Ms: 1000' "http://$E1:8080/plain/x")" = 200 ]; }
wait_until 10 serves

call waiting /absent/x &
calls=$!
call running /hang/x &
calls="$calls $!"
call once /hang/once/x &
calls="$calls $!"
ran() { [ "$(curl -s "http://$STORE/runs?attempt=running")" = 1 ] && [ "$(curl -s "http://$STORE/runs?attempt=once")" = 1 ]; }
wait_until 5 ran
wait_until 5 grep -q 'event=waiting id=waiting' "$WORK/entry-1.log"
kill -TERM "${PIDS[entry-1]}"
status=0
wait "${PIDS[entry-1]}" || status=$?
unset "PIDS[entry-1]"
# shellcheck disable=SC2086
wait $calls
for name in waiting running once; do
    echo "$name: $(cut -d' ' -f1 "$WORK/$name.status")"
done >"$WORK/answers"
diff expected.txt "$WORK/answers"
grep -q 'event=end id=waiting .*outcome=not_run' "$WORK/entry-1.log"
grep -q 'event=end id=once .*outcome=may_have_run' "$WORK/entry-1.log"
[ -n "$(cut -d' ' -f2 "$WORK/waiting.status")" ] || { echo "the refusal does not say when to come back" >&2; exit 1; }
[ "$status" -eq 0 ]
