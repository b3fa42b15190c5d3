#!/usr/bin/env bash
# Calls that reach an instance before it has a configuration or the list of servers: they must be served when both come
# soon, whichever comes first, and be refused as not run, with a time to come back, when one does not.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.61
source ../lib/cluster.sh

STORE=$NET.0.1:7000
E1=$NET.3.1
echo "start_gap: 3s" >"$WORK/policy.yaml"
write_entry_settings entry-1 "$E1" "$STORE" 4
call() { # call NAME: prints status and Retry-After
    curl -s -m 8 --retry 0 -o /dev/null -w '%{http_code} %header{retry-after}\n' -H "Host: a.example" -H "Attempt-Id: $1" \
        -H "Authorization: Bearer key" -H "Deadline-Ms: 10000" "http://$E1:8080/plain/x" || echo "no answer"
}
listens() { curl -s -o /dev/null "http://$E1:8081/"; }

start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json" --policy "$WORK/policy.yaml"
wait_until 2 listens
call outage >"$WORK/outage"
read -r status retry <"$WORK/outage"
[ "$status" = 503 ] || die "without a store: status $status"
[ -n "$retry" ] || die "the refusal does not say when to come back"
call late >"$WORK/late"
[ "$(cut -d' ' -f1 "$WORK/late")" = 503 ] || die "a call waits although the start has lasted for long"
kill_hard entry-1

start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json" --policy "$WORK/policy.yaml"
wait_until 2 listens
call waits >"$WORK/waits" &
caller=$!
start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000"
wait $caller
grep -q '^200 ' "$WORK/waits" || die "a call is refused although the configuration comes in time: $(cat "$WORK/waits")"
kill_hard entry-1

control() { curl -s -o /dev/null -X POST "http://$STORE/$1"; }
# Calls may wait for a place for 1.4 of their 4 s, which is less than the pause below.
curl -s "http://$STORE/pomeloport/objects/config" | python3 -c '
import json, sys
spec = json.load(sys.stdin)["items"][0]["spec"]
for route in spec["routes"]:
    route["timeoutMs"] = 4000
spec["version"] = 2
json.dump(spec, sys.stdout)' >"$WORK/config.json"
curl -s -o /dev/null "http://$STORE/put?kind=config&name=main" --data-binary "@$WORK/config.json"
echo "start_gap: 3500ms" >"$WORK/policy.yaml"
# waits_for FIRST SECOND [PAUSE]: starts the instance while the store has nothing and calls it. The store has objects of the
# kind FIRST then, and of the kind SECOND after a pause, or not before the call has ended. Leaves the status in SECOND.
waits_for() {
    control "away?kind=$1"
    control "away?kind=$2"
    start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json" --policy "$WORK/policy.yaml"
    wait_until 2 listens
    call "waits-for-$2" >"$WORK/$2" &
    caller=$!
    control "back?kind=$1"
    [ -z "${3:-}" ] || { sleep "$3" && control "back?kind=$2"; }
    wait $caller
    control "back?kind=$2"
    kill_hard entry-1
}
waits_for config servers 2
grep -q '^200 ' "$WORK/servers" || die "a call is refused although the servers come in time: $(cat "$WORK/servers")"
waits_for servers config 2
grep -q '^200 ' "$WORK/config" || die "a call is refused although the configuration comes in time: $(cat "$WORK/config")"
waits_for config servers
grep -q '^503 ' "$WORK/servers" || die "without servers: $(cat "$WORK/servers")"

# A call that is held while its instance stops can get no server there; another instance may take it at once.
control "away?kind=servers"
write_entry_settings entry-1 "$E1" "$STORE" 20
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json" --policy "$WORK/policy.yaml"
wait_until 2 listens
call stops >"$WORK/stops" &
caller=$!
sleep 0.5
kill -TERM "${PIDS[entry-1]}"
wait $caller
[ "$(cat "$WORK/stops")" = "503 0.100" ] || die "held while the instance stops: $(cat "$WORK/stops")"
