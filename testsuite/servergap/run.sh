#!/usr/bin/env bash
# A service without backend servers: a call must not hold its connection for a third of its time when none is expected,
# and must be served when the server is replaced after a short gap.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.57
source ../lib/cluster.sh

STORE=$NET.0.1:7000
E1=$NET.3.1
write_entry_settings entry-1 "$E1" "$STORE" 4
route() { # route PREFIX SERVICE: prints a route with a long time limit
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"idempotent","timeoutMs":60000,' "$1" "$1"
    printf '"targetLatencyMs":200,"service":"%s","maxAttempts":2,"gapAimMs":250}' "$2"
}
call() { # call NAME PATH: prints the status and Retry-After
    curl -s -m 8 -o /dev/null -w '%{http_code} %header{retry-after}\n' -H "Host: a.example" -H "Attempt-Id: $1" \
        -H "Authorization: Bearer key" -H "Deadline-Ms: 60000" "http://$E1:8080$2" || echo "no answer"
}
waits() { grep -q "event=waiting id=$1 " "$WORK/entry-1.log"; }
serves() { [ "$(call p /plain/x | cut -d' ' -f1)" = 200 ]; }

start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000"
wait_until 5 curl -s "http://$STORE/runs"
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[
    $(route /plain/ s),$(route /absent/ absent)],
    \"services\":[{\"name\":\"s\",\"maxConnections\":100},{\"name\":\"absent\",\"maxConnections\":100}],\"limits\":{},
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
wait_until 10 serves

call absent /absent/x >"$WORK/absent" &
caller=$!
curl -s -X POST "http://$STORE/remove?kind=servers&name=i-0" >/dev/null
wait_until 5 grep -q 'event=backend_gone backend=i-0' "$WORK/entry-1.log"
call replaced /plain/x >"$WORK/replaced" &
caller="$caller $!"
wait_until 5 waits replaced
curl -s -X POST "http://$STORE/put?kind=servers&name=i-0" -d \
    "{\"service\":\"s\",\"address\":\"$NET.1.1:8000\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":2}" >/dev/null
# shellcheck disable=SC2086
wait $caller
echo "replaced: $(cut -d' ' -f1 "$WORK/replaced")" >"$WORK/answers"
echo "absent: $(cut -d' ' -f1 "$WORK/absent")" >>"$WORK/answers"
echo "absent again: $(call again /absent/x | cut -d' ' -f1)" >>"$WORK/answers"
diff expected.txt "$WORK/answers"
grep -q 'event=end id=absent .*outcome=not_run' "$WORK/entry-1.log"
[ -n "$(cut -d' ' -f2 "$WORK/absent")" ] || die "the refusal does not say when to come back"
! waits again || die "a call waits although no server has come for seconds"
