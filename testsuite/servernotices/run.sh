#!/usr/bin/env bash
# Backend servers that say what they want: one that leaves, one and all that want no requests for a time. Without reading
# what they say, instances go on sending to them. By hand, also with INSTANCES=9 in three failure domains, and with FREEZE=1,
# which stops the first instance for four seconds.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.49
source ../lib/cluster.sh

SCENARIOS=${SCENARIOS:-leaving paused allpaused}
INSTANCES=${INSTANCES:-2}
DOMAINS=(a b c)
number=0
for scenario in $SCENARIOS; do
    number=$((number + 1))
    store=$NET.0.$number:7000
    fronts=
    start "platform-$number" "$BIN/platform-standin" "$store"
    wait_until 5 curl -sf "http://$store/runs?attempt=none"
    for i in $(seq "$INSTANCES"); do
        ip=$NET.$((10 + number)).$i
        write_entry_settings "entry-$number-$i" "$ip" "$store" 8 1 "${DOMAINS[$((i % 3))]}"
        start "entry-$number-$i" "$BIN/pomelo-entry" --settings "$WORK/entry-$number-$i.json"
        fronts="${fronts:+$fronts,}$ip:8080"
    done
    python3 load.py "$store" "$fronts" "$NET.1.$number:8000,$NET.1.$number:8001,$NET.1.$number:8002" "$scenario" \
        >"$WORK/result-$number" 2>&1 &
    PIDS[load-$number]=$!
done
if [ "${FREEZE:-0}" = 1 ]; then
    sleep 9
    for i in $(seq "$number"); do kill -STOP "${PIDS[entry-$i-1]}"; done
    sleep 4
    for i in $(seq "$number"); do kill -CONT "${PIDS[entry-$i-1]}"; done
fi
failed=0
for i in $(seq "$number"); do
    wait "${PIDS[load-$i]}" || failed=1
    unset "PIDS[load-$i]"
    cat "$WORK/result-$i"
done
exit $failed
