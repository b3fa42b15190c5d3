#!/usr/bin/env bash
# The store comes back from a copy that lacks the newest configuration, the removal of a server and an entry of a new one.
# A key that was taken away must stay invalid and the removed server unused, also at an instance that starts meanwhile, the
# new server stays in use, the store is not called without a pause, and a later configuration takes effect in time.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.49}
source ../lib/cluster.sh

STORE=$NET.0.1:7000
INSTANCES=3
export SEEDS="\"$NET.3.1:7340\",\"$NET.3.2:7340\",\"$NET.3.3:7340\""

control() { curl -sf -o /dev/null -X POST "http://$STORE/$1" "${@:2}"; }
configure() { # configure VERSION KEY: writes the configuration with this version, in which only this key is valid
    python3 -c '
import json, sys
spec = json.load(sys.stdin)
spec["version"] = int(sys.argv[1])
spec["tenants"][0]["apiKeys"] = [sys.argv[2]]
json.dump(spec, sys.stdout)' "$1" "$2" <"$WORK/config.json" >"$WORK/config-$1.json"
    control "put?kind=config&name=main" --data-binary "@$WORK/config-$1.json"
}
write_server() { # write_server NUMBER: writes the entry of a server
    control "put?kind=servers&name=i-$1" -d "{\"service\":\"s\",\"address\":\"$NET.1.$1:8000\",\"zone\":\"a\",\"slots\":8,
        \"state\":\"ready\",\"born\":1}"
}
call() { # call INSTANCE KEY: prints the status
    curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: a.example" -H "Authorization: Bearer $2" \
        -H "Attempt-Id: $2-$1-$((++CALLS))-$RANDOM" -H "Deadline-Ms: 2000" "http://$NET.3.$1:8080/plain/x" || true
}
CALLS=0
serves() { [ "$(call "$1" "$2")" = 200 ]; }
refuses() { [ "$(call "$1" "$2")" = 401 ]; }
all() { # all WHAT KEY: whether this holds at all instances
    local i
    for i in $(seq $INSTANCES); do "$1" "$i" "$2" || return 1; done
}
runs() { wc -l <"$WORK/runner-$1.log"; }
store_calls() { curl -s "http://$STORE/calls" | cut -d' ' -f1; }
traffic() { # traffic NAME: calls all instances with the key that was taken away and with the valid one until it is killed
    local i
    while true; do
        for i in $(seq $INSTANCES); do
            echo "old $(call "$i" old)"
            echo "new $(call "$i" new)"
        done
        sleep 0.05
    done
}

start platform "$BIN/platform-standin" "$STORE"
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
curl -s "http://$STORE/pomeloport/objects/config" | python3 -c '
import json, sys
json.dump(json.load(sys.stdin)["items"][0]["spec"], sys.stdout)' >"$WORK/config.json"
configure 10 old
for i in 1 2 3; do start "runner-$i" "$BIN/platform-standin" --runner "i-$i" "$NET.1.$i:8000"; done
write_server 1
write_server 2
for i in $(seq $INSTANCES); do
    write_entry_settings "entry-$i" "$NET.3.$i" "$STORE" 8
    start "entry-$i" "$BIN/pomelo-entry" --settings "$WORK/entry-$i.json"
done
wait_until 10 all serves old || die "the instances do not serve"

control copy
configure 13 spare
control "remove?kind=servers&name=i-2"
write_server 3
configure 19 new
wait_until 3 all serves new || die "the configuration is not in force before the restore"
sleep 2
removed_runs=$(runs 2)
joined_runs=$(runs 3)
calls_before=$(store_calls)
traffic >"$WORK/traffic" &
PIDS[traffic]=$!
control away
sleep 1
control restore
control back
sleep 0.5
kill_hard entry-2
start entry-2 "$BIN/pomelo-entry" --settings "$WORK/entry-2.json"
wait_until 5 serves 2 new || die "the instance that was started after the restore lacks the configuration in force"
sleep 1
configure 19 new
control "remove?kind=servers&name=i-2"
write_server 3
sleep 2
kill_hard traffic
calls=$(($(store_calls) - calls_before))
configure 21 newest
wait_until 2 all serves newest || die "a later configuration takes no effect"
all refuses new || die "a key is valid that a later configuration has taken away"

grep -q '^new 200' "$WORK/traffic" || die "nothing was served during the restore"
! grep '^old 200' "$WORK/traffic" || die "a key that was taken away is valid again"
[ "$(runs 2)" = "$removed_runs" ] || die "a removed server got requests again"
[ "$(runs 3)" -gt "$joined_runs" ] || die "a server that joined after the copy got no requests"
# Three instances watch two kinds, ten times a second at most.
[ "$calls" -lt 400 ] || die "$calls calls to the store"
grep -hq "event=store_era before=1 era=2" "$WORK"/entry-*.log || die "no event of the new era"
curl -s "http://$NET.3.1:9464/metrics" | grep -q '^pomelo_store_restores_total 1$' || die "no metric of the restore"
