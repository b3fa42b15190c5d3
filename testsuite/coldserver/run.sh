#!/usr/bin/env bash
# A cold server that crashes above its rate, behind six instances at 90 requests a second. Without the limit, or with one that
# each instance applies by itself, the server crashes. It must be used nevertheless, also by instances that have just started.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.86
source ../lib/cluster.sh

STORE=$NET.0.1:7000
LIMIT=20 # 10 x 1.5 + 5
DOMAINS=(a b c)
fronts=
start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000" "$NET.1.2:8000"
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
curl -sf -X POST "http://$STORE/put?kind=config&name=main" -d '{"version":2,"routes":[{"name":"/plain/",
    "hostname":"a.example","pathPrefix":"/plain/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":200,"service":"s",
    "maxAttempts":2,"gapAimMs":250}],"services":[{"name":"s","maxConnections":100,"coldStartS":6,"coldPerS":10}],
    "limits":{},"tenants":[{"name":"org","apiKeys":["key"]}]}' >/dev/null
for i in 1 2 3 4 5 6; do
    write_entry_settings "entry-$i" "$NET.3.$i" "$STORE" 8 1 "${DOMAINS[$((i % 3))]}"
    sed -i 's/"bounds":{/"zones":{"a":"r","b":"r","c":"r"},"bounds":{"coldOverage":1.5,"coldSlack":5,/' "$WORK/entry-$i.json"
    start "entry-$i" "$BIN/pomelo-entry" --settings "$WORK/entry-$i.json" --policy ../../deploy/policy.yaml
    fronts="${fronts:+$fronts,}$NET.3.$i:8080"
done
for i in 1 2 3 4 5 6; do
    wait_until 10 grep -q 'event=backend .*i-1' "$WORK/entry-$i.log"
done

cold_round() { # cold_round NAME LEAST: makes a server cold under load and checks what it got
    curl -sf -X POST "http://$STORE/cold?runner=0&ms=6000&limit=$LIMIT" >/dev/null
    sleep 0.3
    curl -s -X POST "http://$STORE/coldrate?runner=0" >/dev/null
    python3 load.py "$fronts" 90 5 >"$WORK/load-$1"
    most=$(curl -s "http://$STORE/coldrate?runner=0")
    echo "$1: most in a second $most, answers $(cat "$WORK/load-$1")"
    case $most in
    *crashed) die "the cold server got more than its limit and crashed" ;;
    esac
    [ "$most" -ge "$2" ] || die "the cold server was hardly used"
    ! grep -q 'lost\|"[45][0-9][0-9]":' "$WORK/load-$1" || die "calls failed"
}
cold_round starting 0
sleep 30
cold_round settled 8
