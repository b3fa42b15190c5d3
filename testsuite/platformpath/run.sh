#!/usr/bin/env bash
# Two entry instances on the platform stand-in: responses, rejections, stream resumption, at-most-once execution, a
# store outage, a draining backend server, and graceful shutdown.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.46
source ../lib/cluster.sh

STORE=$NET.0.1:7000
settings() {
    cat >"$WORK/$1.json" <<JSON
{"nodeName":"$1","region":"r","zone":"a","ip":"$2","internalPorts":[7340,7355],
 "listen":{"front":"$2:8080","ready":"$2:8081","directory":"$2:8082"},"seeds":[],
 "platform":{"address":"$STORE"},"bounds":{"graceS":8}}
JSON
}
call() { # call ADDRESS ATTEMPT PATH [CURL OPTION...]: prints the status and the body
    local address=$1 attempt=$2 path=$3
    shift 3
    curl -s -m 5 -w '%{http_code}\n' -H "Host: a.example" -H "Attempt-Id: $attempt" -H "Authorization: Bearer key" \
        -H "Deadline-Ms: 3000" "$@" "http://$address:8080$path" || echo "curl=$?"
}
expect() { # expect WHAT ACTUAL EXPECTED
    [ "$2" = "$3" ] || {
        echo "$1: got '$2', expected '$3'" >&2
        exit 1
    }
}
until_true() { # until_true WHAT COMMAND...: retries the command every 0.1 s, at most 100 times
    local what=$1
    shift
    for _ in $(seq 100); do
        "$@" && return
        sleep 0.1
    done
    echo "timed out: $what" >&2
    exit 1
}

expect "missing settings" "$("$BIN/pomelo-entry" --settings "$WORK/none.json" 2>/dev/null || echo $?)" 2
start platform "$BIN/platform-standin" "$STORE" "$NET.1.1:8000" "$NET.1.2:8000"
for i in 1 2; do
    settings "entry-$i" "$NET.3.$i"
    "$BIN/pomelo-entry" --settings "$WORK/entry-$i.json" --check >/dev/null
    start "entry-$i" "$BIN/pomelo-entry" --settings "$WORK/entry-$i.json"
done
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1:8081/pomeloport/readiness")" = 200 ]; }
until_true "instances are ready" ready "$NET.3.1"
until_true "instances are ready" ready "$NET.3.2"
both_listed() { curl -s "http://$NET.3.1:8082/pomeloport/resolve?name=a.example" | grep -q "$NET.3.2:8080"; }
until_true "instances know each other" both_listed

E1=$NET.3.1
expect "plain answer" "$(call "$E1" a1 /plain/x -d hello | sed 's/^i-[01]/i/')" $'i org hello\n200'
expect "first of two Authorization headers" "$(call "$E1" a2 /plain/x -H 'Authorization: Bearer no' | tail -n 1)" 200
expect "unknown key" "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: a.example' -H 'Attempt-Id: a3' \
    -H 'Authorization: Bearer no' "http://$E1:8080/plain/x")" 401
expect "unknown route" "$(call "$E1" a4 /none/x | tail -n 1)" 404
expect "request shed by one backend server" "$(call "$E1" a5 /shed/x | tail -n 1)" 200
events=$(for i in $(seq 10); do printf 'id: %d\ndata: %d\n\n' "$i" "$i"; done)
expect "stream" "$(call "$E1" a6 /stream/x)" "$events"$'\n\n200'
for i in 1 2; do
    expect "resumed stream" "$(call "$E1" "b$i" /cut/x)" "$events"$'\n\n200'
done
expect "lost answer of a non-idempotent request" "$(call "$E1" c1 /lost/x -d pay | tail -n 1)" 502
expect "runs of a non-idempotent request" "$(curl -s "http://$STORE/runs?attempt=c1")" 1
expect "route timeout" "$(call "$E1" c2 /hang/x | tail -n 1)" 504
expect "two Content-Length headers" "$(printf 'POST /plain/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx' |
    timeout 3 bash -c "exec 3<>/dev/tcp/$E1/8080; cat >&3; head -n 1 <&3" | tr -d '\r')" "HTTP/1.1 400 Bad Request"

curl -s -X POST "http://$STORE/away" >/dev/null
expect "request during a store outage" "$(call "$E1" d1 /plain/x | tail -n 1)" 200
curl -s -X POST "http://$STORE/back" >/dev/null
curl -s -X POST "http://$STORE/drain?runner=0" >/dev/null
only_second_serves() { [ "$(call "$E1" "e$RANDOM" /plain/x | cut -c1-3 | head -n 1)" = i-1 ] && [ "$(call "$E1" "e$RANDOM" /plain/x | cut -c1-3 | head -n 1)" = i-1 ]; }
until_true "the draining backend server receives no requests" only_second_serves
grep -q 'event=dependency_lost dependency=store' "$WORK/entry-1.log"
until_true "the log reports the store as reachable" grep -q 'event=dependency_regained dependency=store' "$WORK/entry-1.log"
# The procedures in docs/OPERATIONS.md that lead from a request id to the cause of its failure.
explain() { "$BIN/pomeloctl" explain "$1" "$WORK/entry-1.log" "$WORK/entry-2.log" | sed 's/.* event=/event=/'; }
explain c1 >"$WORK/events"
expect "events of a request with unknown outcome" "$(cut -d' ' -f1 "$WORK/events" | paste -sd' ')" \
    "event=admitted event=choice event=attempt_broken event=end"
grep -q 'event=attempt_broken .*delivered=0' "$WORK/events"
grep -q 'event=end .*outcome=may_have_run' "$WORK/events"
explain a3 >"$WORK/events"
grep -q 'event=rejected .*status=401 reason=unauthorised' "$WORK/events"
for i in 1 2; do explain "b$i"; done >"$WORK/events"
grep -q 'event=attempt_broken .*delivered=4' "$WORK/events"
grep -q 'event=end .*outcome=answered .*attempts=2' "$WORK/events"
expect "explain for an unknown request" "$(explain none 2>&1)" "pomeloctl explain: no log has this request"

kill -TERM "${PIDS[entry-1]}"
not_ready() { ! ready "$E1"; }
until_true "a stopping instance is not ready" not_ready
not_listed() { ! curl -s "http://$NET.3.2:8082/pomeloport/resolve?name=a.example" | grep -q "$E1:8080"; }
until_true "a stopping instance leaves the directory" not_listed
expect "stream during shutdown" "$(call "$E1" f1 /stream/x | tail -n 1)" 200
status=0
wait "${PIDS[entry-1]}" || status=$?
unset "PIDS[entry-1]"
expect "exit code of the stopped instance" "$status" 0
