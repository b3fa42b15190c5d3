#!/usr/bin/env bash
# pomeloctl explain --dry-run tells where a request would go at a live instance, and leaves no trace there: no request at a server,
# no log line, no changed metric. Guards against an answer that differs from where the next request goes, or that counts as work.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.88
source ../lib/cluster.sh
source ../lib/oneentry.sh

put_server() { # put_server NUMBER SERVICE ZONE STATE
    curl -s "http://$STORE/put?kind=servers&name=i-$1" -d "{\"service\":\"$2\",\"address\":\"$NET.1.$1:8000\",
        \"zone\":\"$3\",\"slots\":8,\"state\":\"$4\",\"born\":1}" >/dev/null
}
dry_run() { # dry_run OPTION...: prints the values that matter of the JSON answer, or the error and the exit code
    "$BIN/pomeloctl" explain --dry-run -e "$ENTRY:9464" -o json "$@" >"$WORK/answer" 2>&1 || echo "exit=$?" >>"$WORK/answer"
    python3 - "$WORK/answer" <<'PY'
import json, sys
text = open(sys.argv[1]).read()
try:
    answer = json.loads(text)
except ValueError:
    sys.exit(print(" ".join(text.split())))
servers = " ".join(f"{s['server']}:{s['role'] or s['ruled_out_by'] or 'free'}" for s in answer["servers"])
predicted = "predicted" if answer["predicted_ms"] > 0 else "no_prediction"
print(answer["route"], answer["priority"], answer["decision"], answer["detail"].split(":")[0] or "-", predicted, servers)
PY
}

start backend python3 -u ../regions/backend.py "$NET.1.1" 8000
start platform "$BIN/platform-standin" "$STORE"
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
put_server 1 s a ready
put_server 2 s b ready
put_server 3 s a draining
put_server 4 e a ready
put_server 5 e b ready
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d '{"version":2,"limits":{},"routes":[
    {"name":"plain","hostname":"a.example","pathPrefix":"/p/","kind":"idempotent","timeoutMs":3000,"service":"s","priority":4},
    {"name":"prompts","hostname":"a.example","pathPrefix":"/e/","kind":"streaming","timeoutMs":9000,"service":"e",
     "targetLatencyMs":1500,"gapAimMs":500}],"services":[{"name":"s"},{"name":"e","engine":{"slots":4,
     "kvCapacityTokens":100000,"step_ms":1,"stride":40,"read_per_s":100000}}],
    "tenants":[{"name":"org","apiKeys":["key"]},{"name":"northern","apiKeys":["n"],"priority":2,"allowedRegions":["north"]},
     {"name":"western","apiKeys":["w"],"allowedRegions":["west"]}]}' >/dev/null
write_entry_settings entry-1 "$ENTRY" "$STORE" 8 1 a
sed -i 's/"seeds"/"zones":{"a":"north","b":"south"},"seeds"/' "$WORK/entry-1.json"
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
wait_until 10 grep -q "event=backend .*i-5" "$WORK/entry-1.log"
wait_until 10 grep -q "event=configuration version=2 " "$WORK/entry-1.log"
# The log still grows while the instance starts.
sleep 2
lines=$(wc -l <"$WORK/entry-1.log")
curl -s "http://$ENTRY:9464/metrics" >"$WORK/metrics"

expect "a plain call in one region" "$(dry_run --service s --organisation northern)" \
    "plain 2 send - predicted i-1:answers i-2:region i-3:leaving"
expect "a call without an allowed region" "$(dry_run --service s --organisation western --priority 1)" \
    "plain 1 refuse region no_prediction i-1:region i-2:region i-3:leaving"
expect "a prompt in one region" "$(dry_run --service e --prompt 5000 --organisation northern)" \
    "prompts 2 send - predicted i-4:answers i-5:region"
# Either of two equal engines may answer.
expect "a prompt that needs two engines" "$(dry_run --service e --prompt 120000 | grep -o 'reserve\|answers\|helps' | sort | tr '\n' ' ')" \
    "answers helps reserve "
expect "an unknown service" "$(dry_run --service none | grep -o 'exit=.*')" "exit=1"
expect "an unknown organisation" "$(dry_run --service s --organisation none | grep -o 'no organisation.*exit=.*')" 'no organisation has this name"} exit=1'
expect "a wrong number" "$(dry_run --service s --prompt x | grep -o 'exit=.*')" "exit=1"
expect "no service" "$(dry_run | grep -o 'exit=.*')" "exit=2"

expect "new log lines" "$(wc -l <"$WORK/entry-1.log")" "$lines"
curl -s "http://$ENTRY:9464/metrics" | diff "$WORK/metrics" - || expect "metrics" "changed" "the same"
expect "requests at the server" "$(grep -c run "$WORK/backend.log" || true)" 0
expect "a real call goes there" "$(curl -s -H "Host: a.example" -H "Attempt-Id: c1" -H "Authorization: Bearer n" \
    -H "Deadline-Ms: 3000" "http://$ENTRY:8080/p/x")" "$NET.1.1"
