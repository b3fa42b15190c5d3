#!/usr/bin/env bash
# Failure domains that are evacuated: nothing may reach their servers after the bound, in a calm fleet, through an instance
# that starts while the store is unavailable, through one that was stopped meanwhile, and through instances that have no list
# of evacuations yet. By hand, also with INSTANCES=9.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.47}
source ../lib/cluster.sh

SCENARIOS=${SCENARIOS:-calm restart freeze unlisted unread}
INSTANCES=${INSTANCES:-3}
DOMAINS=(a b c)

# start_entry SCENARIO INSTANCE: starts an instance, whose settings exist.
start_entry() {
    start "entry-$1-$2" "$BIN/pomelo-entry" --settings "$WORK/entry-$1-$2.json"
}

# obey SCENARIO: does to the first instance what the load program asks for, until that program ends.
obey() {
    local number=$1 line
    while read -r line; do
        case $line in
        kill)
            kill_hard "entry-$number-1"
            start_entry "$number" 1
            ;;
        stop) kill -STOP "${PIDS[entry-$number-1]}" ;;
        continue) kill -CONT "${PIDS[entry-$number-1]}" ;;
        *) echo "$line" ;;
        esac
    done
}

failed=0
number=0
for scenario in $SCENARIOS; do
    number=$((number + 1))
    store=$NET.0.$number:7000
    fronts=
    [ "$scenario" = unread ] || EVACUATE_MS=5000
    start "platform-$number" "$BIN/platform-standin" "$store"
    wait_until 5 curl -sf "http://$store/runs?attempt=none"
    if [ "$scenario" = unlisted ]; then
        curl -sf -d '{}' "http://$store/put?kind=evacuations&name=a" >/dev/null
        curl -sf -d '' "http://$store/away?kind=evacuations" >/dev/null
    fi
    # The stopped instance is to be one that does not read the store itself; two in each domain do.
    count=$INSTANCES
    [ "$scenario" != freeze ] || [ "$count" -ge 9 ] || count=9
    for i in $(seq "$count"); do
        ip=$NET.$((10 + number)).$i
        SEEDS="\"$NET.$((10 + number)).1:1\",\"$NET.$((10 + number)).2:1\"" EVACUATE_MS=${EVACUATE_MS:-} \
            write_entry_settings "entry-$number-$i" "$ip" "$store" 8 1 "${DOMAINS[$((i % 3))]}"
        start_entry "$number" "$i"
        fronts="${fronts:+$fronts,}$ip:8080"
    done
    EVACUATE_MS=
    : >"$WORK/load-$number"
    python3 -u load.py "$store" "$fronts" "$NET.1.$number:8000,$NET.1.$number:8001,$NET.1.$number:8002" "$scenario" \
        >"$WORK/load-$number" 2>"$WORK/errors-$number" &
    PIDS[load-$number]=$!
    obey "$number" < <(tail -n +1 -f --pid "${PIDS[load-$number]}" "$WORK/load-$number")
    wait "${PIDS[load-$number]}" || failed=1
    unset "PIDS[load-$number]"
    tail -n 30 "$WORK/errors-$number"
    if [ "$scenario" = unread ]; then
        grep -q "kind=evacuations" "$WORK"/entry-"$number"-*.log && die "the kind was read without a bound"
    else
        grep -hq "event=evacuation domain=a .*in_force=1" "$WORK/entry-$number-2.log" || die "$scenario: no event of the evacuation"
    fi
    [ "$scenario" != calm ] || grep -hq "event=evacuation_end domain=a " "$WORK/entry-$number-2.log" || die "no event of its end"
    for name in "${!PIDS[@]}"; do
        kill_hard "$name"
    done
done
exit $failed
