#!/usr/bin/env bash
# A second signal during a planned stop, long before its end: each caller must get an answer, and the process must not
# wait for the end of the stop.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.55
source ../lib/cluster.sh

STORE=$NET.0.1:7000
E1=$NET.3.1
write_entry_settings entry-1 "$E1" "$STORE" 40
route() { # route PREFIX KIND SERVICE: prints a route with a time limit longer than the stop
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":60000,' "$1" "$1" "$2"
    printf '"targetLatencyMs":200,"service":"%s","maxAttempts":1,"gapAimMs":250}' "$3"
}
call() { # call NAME PATH [OPTION...]: records the status, and how the transfer ended
    local name=$1 path=$2 status=0
    shift 2
    curl -sN -m 20 -o "$WORK/$name.body" -w '%{http_code}' -H "Host: a.example" -H "Attempt-Id: $name" \
        -H "Authorization: Bearer key" -H "Deadline-Ms: 60000" "$@" "http://$E1:8080$path" >"$WORK/$name.status" ||
        status=$?
    [ "$status" -eq 0 ] && echo " whole" >>"$WORK/$name.status" || echo " cut" >>"$WORK/$name.status"
}
ran() { [ "$(curl -s "http://$STORE/runs?attempt=$1")" = 1 ]; }

start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000"
wait_until 5 curl -s "http://$STORE/runs"
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[
    $(route /plain/ idempotent s),$(route /hang/ idempotent s),$(route /hang/once/ non_idempotent s),
    $(route /silent/ streaming s),$(route /slow/ streaming s),$(route /absent/ idempotent absent)],
    \"services\":[{\"name\":\"s\",\"maxConnections\":100},{\"name\":\"absent\",\"maxConnections\":100}],\"limits\":{},
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
serves() { [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: a.example' -H 'Attempt-Id: p' \
    -H 'Authorization: Bearer key' -H 'Deadline-Ms: 1000' "http://$E1:8080/plain/x")" = 200 ]; }
wait_until 10 serves

names="running once silent slow"
calls=""
for each in running:/hang/x once:/hang/once/x silent:/silent/x slow:/slow/x; do
    call "${each%%:*}" "${each#*:}" &
    calls="$calls $!"
done
for name in $names; do
    wait_until 5 ran "$name"
done
wait_until 5 grep -q '^id: 1$' "$WORK/slow.body"
kill -TERM "${PIDS[entry-1]}"
wait_until 5 grep -q event=stop "$WORK/entry-1.log"
call waiting /absent/x &
calls="$calls $!"
wait_until 5 grep -q 'event=waiting id=waiting' "$WORK/entry-1.log"
kill -TERM "${PIDS[entry-1]}"
wait_until 5 is_gone entry-1
status=0
wait "${PIDS[entry-1]}" || status=$?
unset "PIDS[entry-1]"
# shellcheck disable=SC2086
wait $calls
for name in waiting $names; do
    echo "$name: $(cat "$WORK/$name.status")"
done >"$WORK/answers"
diff expected.txt "$WORK/answers"
grep -q 'event=end id=waiting .*outcome=not_run' "$WORK/entry-1.log"
grep -q 'event=end id=once .*outcome=may_have_run' "$WORK/entry-1.log"
[ "$status" -eq 0 ]
