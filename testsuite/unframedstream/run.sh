#!/usr/bin/env bash
# Answers with neither a length nor chunks end with their connection. One that ends inside an event, or before its first
# event, must not reach the caller as a complete stream.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.56}
source ../lib/cluster.sh

STORE=$NET.0.1:7000
ENTRY=$NET.3.1
expect() { # expect WHAT ACTUAL EXPECTED
    [ "$2" = "$3" ] || {
        echo "$1: got '$2', expected '$3'" >&2
        exit 1
    }
}
call() { # call ATTEMPT PATH: prints the answer and its status
    curl -s -m 5 -w '%{http_code}\n' -H "Host: a.example" -H "Attempt-Id: $1" -H "Authorization: Bearer key" \
        -H "Deadline-Ms: 3000" "http://$ENTRY:8080$2" || echo "curl=$?"
}

start backend python3 backend.py "$NET.1.1" 8000
start platform "$BIN/platform-standin" "$STORE"
cat >"$WORK/entry.json" <<JSON
{"nodeName":"entry-1","region":"r","zone":"a","ip":"$ENTRY","internalPorts":[7340,7355],
 "listen":{"front":"$ENTRY:8080","ready":"$ENTRY:8081","directory":"$ENTRY:8082"},"seeds":[],
 "platform":{"address":"$STORE"},"bounds":{"graceS":8}}
JSON
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
curl -s "http://$STORE/put?kind=servers&name=i-1" -d "{\"service\":\"s\",\"address\":\"$NET.1.1:8000\",\"zone\":\"a\",
    \"slots\":8,\"state\":\"ready\",\"born\":1}" >/dev/null
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry.json"
wait_until 10 grep -q "event=backend .*i-1" "$WORK/entry-1.log"

events=$(for i in $(seq 10); do printf 'id: %d\ndata: %d\n\n' "$i" "$i"; done)
expect "whole stream" "$(call a1 /stream/whole)" "$events"$'\n\n200'
expect "stream that ended inside an event" "$(call a2 /stream/inside)" "$events"$'\n\n200'
expect "stream that ended before its first event" "$(call a3 /stream/before)" "$events"$'\n\n200'
expect "stream that never has an event" "$(call a4 /stream/never | tail -n 1)" 502
