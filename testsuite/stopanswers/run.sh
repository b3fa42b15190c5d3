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
write_entry_settings entry-1 "$E1" "$STORE" 4
route() { # route PREFIX KIND SERVICE [TARGET_MS]: prints a route with a time limit longer than the stop
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":60000,' "$1" "$1" "$2"
    printf '"targetLatencyMs":%s,"service":"%s","maxAttempts":2,"gapAimMs":250}' "${4:-200}" "$3"
}
call() { # call NAME PATH: records status and Retry-After when the call ends
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
    $(route /hang/once/ non_idempotent s),$(route /absent/ idempotent absent),
    $(route /long/ idempotent s 10000)],
    \"services\":[{\"name\":\"s\",\"maxConnections\":100},{\"name\":\"absent\",\"maxConnections\":100}],\"limits\":{},
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
# Calls wait for the absent service until the end of the stop.
echo "server_gap: 20s" >"$WORK/policy.yaml"
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json" --policy "$WORK/policy.yaml"
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
wait_until 2 grep -q 'event=stop ' "$WORK/entry-1.log"
# Its expected time is longer than the rest of the stop.
call long /long/x
status=0
wait "${PIDS[entry-1]}" || status=$?
unset "PIDS[entry-1]"
# shellcheck disable=SC2086
wait $calls
for name in waiting running once long; do
    echo "$name: $(cut -d' ' -f1 "$WORK/$name.status")"
done >"$WORK/answers"
diff expected.txt "$WORK/answers"
# Refused when it could no longer be complete, not at the end of the stop.
grep -q 'event=end id=waiting .*outcome=not_run .*stops before a place' "$WORK/entry-1.log"
grep -q 'event=rejected id=long .*reason=stopping' "$WORK/entry-1.log"
grep -q 'event=end id=once .*outcome=may_have_run' "$WORK/entry-1.log"
[ -n "$(cut -d' ' -f2 "$WORK/waiting.status")" ] || { echo "the refusal does not say when to come back" >&2; exit 1; }
[ "$status" -eq 0 ]
