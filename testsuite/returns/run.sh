#!/usr/bin/env bash
# Callers that return once, at instances that start while the platform's store is away. With Retry-After 100 ms they came
# back into the same outage and were refused again; with the policy they come back when the store has returned. Then a
# whole failure domain and the store go away, and an instance that restarts there without seeds has the configuration within a second.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.61
source ../lib/cluster.sh

STORE=$NET.0.1:7000
write_entry_settings entry-1 "$NET.3.1" "$STORE" 4
write_entry_settings entry-2 "$NET.3.2" "$STORE" 4
write_entry_settings entry-3 "$NET.3.3" "$STORE" 4 1 b
call() { # call NAME ENTRY TIME_MS: prints the status and Retry-After
    curl -s -m 8 -o /dev/null -w '%{http_code} %header{retry-after}\n' -H "Host: a.example" -H "Attempt-Id: $1" \
        -H "Authorization: Bearer key" -H "Deadline-Ms: $3" "http://$NET.3.$2:8080/plain/x" || echo "no answer"
}
return_once() { # return_once NAME ENTRY: calls, and once more after the Retry-After; prints the last status
    local status delay
    read -r status delay < <(call "$1" "$2" 10000)
    if [ "$status" != 200 ]; then
        sleep "$delay"
        read -r status delay < <(call "$1-return" "$2" "$(awk -v d="$delay" 'BEGIN { print int(10000 - 1000 * d) }')")
    fi
    echo "$status"
}

start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json" --policy ../../deploy/policy.yaml
start entry-2 "$BIN/pomelo-entry" --settings "$WORK/entry-2.json"
wait_until 5 call up 1 10000
wait_until 5 call up 2 10000
callers=
for i in $(seq 20); do
    return_once "on-$i" 1 >"$WORK/on-$i" &
    callers="$callers $!"
    return_once "off-$i" 2 >"$WORK/off-$i" &
    callers="$callers $!"
done
sleep 0.8
start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000"
wait_until 5 curl -s "http://$STORE/runs"
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d '{"version":2,"routes":[{"name":"/plain/",
    "hostname":"a.example","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":10000,"targetLatencyMs":200,
    "service":"s","maxAttempts":2,"gapAimMs":250}],"services":[{"name":"s","maxConnections":100}],"limits":{},
    "tenants":[{"name":"org","apiKeys":["key"]}]}' >/dev/null
# shellcheck disable=SC2086
wait $callers
on=$(cat "$WORK"/on-* | grep -c '^200$' || true)
off=$(cat "$WORK"/off-* | grep -c '^200$' || true)
echo "answered on return: $on of 20 with forecasts, $off of 20 without"
# Target: 18 of 20; the store needs up to 0.8 s more to be noticed after its return.
[ "$on" -ge 18 ] || die "callers returned before the instance could serve them"
[ "$off" -lt "$on" ] || die "without forecasts as many callers are answered"
grep -q 'event=rejected id=on-1 .* retry_after_ms=[123][0-9]* cause=no_configuration' "$WORK/entry-1.log"
grep -q 'event=rejected id=off-1 .* retry_after_ms=100 cause=no_configuration' "$WORK/entry-2.log"

serves() { [ "$(call "$1-$RANDOM" "$2" 10000 | cut -d' ' -f1)" = 200 ]; }
start entry-3 "$BIN/pomelo-entry" --settings "$WORK/entry-3.json" --policy ../../deploy/policy.yaml
wait_until 10 serves other 3
wait_until 10 grep -q 'event=peer peer=entry-1 ' "$WORK/entry-3.log"
sleep 2
kill_hard platform
kill_hard entry-1
kill_hard entry-2
sleep 0.5
start again "$BIN/pomelo-entry" --settings "$WORK/entry-1.json" --policy ../../deploy/policy.yaml
wait_until 5 grep -q 'event=configuration ' "$WORK/again.log"
started=$(date -d "$(grep -m 1 -o 'time=[^ ]*' "$WORK/again.log" | cut -d= -f2)" +%s%3N)
configured=$(date -d "$(grep -m 1 'event=configuration ' "$WORK/again.log" | grep -o 'time=[^ ]*' | cut -d= -f2)" +%s%3N)
echo "configuration from a peer after $((configured - started)) ms"
[ $((configured - started)) -lt 1000 ] || die "the restarted instance has no configuration after a second"
