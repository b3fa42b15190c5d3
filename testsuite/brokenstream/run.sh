#!/usr/bin/env bash
# A stream breaks off and the next run answers with something that is no continuation. Neither its text nor its head may
# reach the caller in the middle of the stream, and the stream must not end as complete. It goes on with the next run if the
# route permits another attempt; such an answer used to end it.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.58
source ../lib/cluster.sh
source ../lib/oneentry.sh

events() { for i in $(seq "$1"); do printf 'id: %d\ndata: %d\n\n' "$i" "$i"; done; }

start_one_entry
for attempts in 2 3; do
    curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":$attempts,\"routes\":[
        {\"name\":\"stream\",\"hostname\":\"a.example\",\"pathPrefix\":\"/stream/\",\"kind\":\"streaming\",
         \"timeoutMs\":2000,\"targetLatencyMs\":200,\"service\":\"s\",\"maxAttempts\":$attempts,\"resumable\":true,
         \"gapAimMs\":250}],\"services\":[{\"name\":\"s\",\"maxConnections\":100}],\"limits\":{},
        \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]}]}" >/dev/null
    wait_until 5 grep -q "event=configuration version=$attempts " "$WORK/entry-1.log"
    whole=$(events 10)$'\n\n200'
    expect "resumed stream" "$(call "resumed$attempts" /stream/resumed/x)" "$whole"
    for kind in error missing text nameless; do
        # curl ends with error 18 when an answer is broken off.
        [ "$attempts" -gt 2 ] || whole=$(events 4)$'\n\n200\ncurl=18'
        expect "stream continued by '$kind', $attempts attempts" "$(call "$kind$attempts" "/stream/$kind/x")" "$whole"
        # Breaks of the only backend server take it out of use for a moment.
        sleep 1
    done
done
