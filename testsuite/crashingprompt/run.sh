#!/usr/bin/env bash
# A part that several prompts share crashes each engine that answers one of them. Every such prompt, and every repeat of
# one, took another engine with it, at whichever instance it came.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.59}
source ../lib/cluster.sh

STORE=$NET.0.1:7000
ENGINES=4
MAXIMUM_CRASHES=5
fail() {
    echo "$*" >&2
    exit 1
}
start_entry() { # start_entry NUMBER
    cat >"$WORK/entry-$1.json" <<JSON
{"nodeName":"entry-$1","region":"r","zone":"a","ip":"$NET.3.$1","internalPorts":[7340,7355],
 "listen":{"front":"$NET.3.$1:8080","ready":"$NET.3.$1:8081","directory":"$NET.3.$1:8082"},"seeds":[],
 "platform":{"address":"$STORE"},"bounds":{"graceS":8}}
JSON
    start "entry-$1" "$BIN/pomelo-entry" --settings "$WORK/entry-$1.json"
}
is_ready() { # is_ready NUMBER
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$NET.3.$1:8081/pomeloport/readiness")" = 200 ]
}
lists_all() { # lists_all NUMBER INSTANCES: whether an instance knows as many ready ones, itself included
    [ "$(curl -s "http://$NET.3.$1:8082/pomeloport/resolve?name=a.example" | grep -o ':8080' | wc -l)" = "$2" ]
}
prompt() { # prompt INSTANCE ATTEMPT PARTS: prints the status; headers and answer go to ATTEMPT.answer
    curl -s -i -m 5 -H "Host: a.example" -H "Attempt-Id: $2" -H "Authorization: Bearer key" -H "Deadline-Ms: 4000" \
        -H "Token-Usage: 400,20" -H "Prompt-Prefix: $3" "http://$NET.3.$1:8080/stream/x" >"$WORK/$2.answer" || true
    head -n 1 "$WORK/$2.answer" | cut -d' ' -f2
}
sound() { # sound INSTANCE ATTEMPT: sends a prompt with the caller and the first part of the crashing ones
    local status
    status=$(prompt "$1" "$2" "a1:300,50$1:90,$2:10")
    [ "$status" = 200 ] && grep -q '^data: 10' "$WORK/$2.answer" || fail "sound prompt $2 at instance $1: $status"
}
crashing() { # crashing INSTANCE NUMBER
    prompt "$1" "bad$2" "a1:300,bad:90,c$2:10"
}
expect_refusal() { # expect_refusal INSTANCE NUMBER
    local status
    status=$(crashing "$1" "$2")
    [ "$status" = 503 ] || fail "crashing prompt $2 at instance $1: $status instead of 503"
    grep -q '"reason":"prompt_quarantined"' "$WORK/bad$2.answer" || fail "refusal of $2 without its reason"
    grep -qi '^Retry-After: [0-9]' "$WORK/bad$2.answer" || fail "refusal of $2 without Retry-After"
    grep "event=end id=bad$2 " "$WORK/entry-$1.log" | grep -q 'part bad.* attempts=0' || fail "refusal of $2 in the log"
    ! grep -q "event=waiting id=bad$2 " "$WORK/entry-$1.log" || fail "prompt $2 waited before it was refused"
}

start platform "$BIN/platform-standin" "$STORE"
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
curl -s "http://$STORE/put?kind=config&name=main" -d '{"version":2,
 "routes":[{"name":"stream","hostname":"a.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":4000,
   "targetLatencyMs":300,"service":"llm","maxAttempts":3,"resumable":true,"gapAimMs":250}],
 "services":[{"name":"llm","maxConnections":100,"engine":{"slots":8,"kvCapacityTokens":100000,"stride":1,"step_ms":1.0,
   "read_per_s":100000.0,"pairs_per_m":0.1,"chunk":2048}}],
 "limits":{},"tenants":[{"name":"org","apiKeys":["key"]}]}' >/dev/null
for i in $(seq $ENGINES); do
    start "engine-$i" bash engine.sh "i-$i" "$(engine_address "$i")" bad "$STORE" "$BIN/platform-standin"
done
start_entry 1
start_entry 2
wait_until 10 is_ready 1 && wait_until 10 is_ready 2
wait_until 10 lists_all 1 2 && wait_until 10 lists_all 2 2

for i in $(seq 8); do
    instance=$((i % 2 + 1))
    sound 1 "e1$i"
    sound 2 "e2$i"
    crashing "$instance" "$i" >>"$WORK/statuses"
    sleep 0.1
done
crashes=$(cat "$WORK"/engine-*.log | grep -c crashed || true)
[ "$crashes" -ge 2 ] || fail "only $crashes engines crashed"
[ "$crashes" -le $MAXIMUM_CRASHES ] || fail "$crashes engines crashed, at most $MAXIMUM_CRASHES may"
expect_refusal 1 21
expect_refusal 2 22

kill_hard entry-2
start_entry 2
wait_until 10 is_ready 2
wait_until 10 lists_all 2 2
expect_refusal 2 23
sound 2 e31
start_entry 3
wait_until 10 is_ready 3
wait_until 10 lists_all 3 3
expect_refusal 3 24
sound 1 e32
[ "$(cat "$WORK"/engine-*.log | grep -c crashed)" = "$crashes" ] || fail "engines crashed during the quarantine"

# The procedure of docs/OPERATIONS.md that leads from a refused prompt to its cause.
grep -q 'event=prompt_quarantined part=bad crashes=[345] ' "$WORK"/entry-*.log || fail "the quarantine is not in the log"
suspected=$(cat "$WORK"/entry-*.log | grep -c 'event=engine_crash_suspected .*parts=.*bad')
[ "$suspected" -ge 3 ] || fail "$suspected crashes are in the log"
curl -s "http://$NET.3.1:9464/metrics" >"$WORK/metrics"
grep -q '^pomelo_quarantined_prompt_parts 1$' "$WORK/metrics" || fail "the quarantine is not among the metrics"
grep -q 'pomelo_failures_total{.*reason="prompt_quarantined"} [1-9]' "$WORK/metrics" || fail "refusals are not counted"
