#!/usr/bin/env bash
# Calls whose route or organisation has allowed regions reach no server of another region or of an unknown one, also while the
# servers inside are away; they are refused at once then. Guards against bodies that leave the regions of their owner.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=127.86
source ../lib/cluster.sh
source ../lib/oneentry.sh

put_server() { # put_server NUMBER ZONE
    curl -s "http://$STORE/put?kind=servers&name=i-$1" -d "{\"service\":\"s\",\"address\":\"$NET.1.$1:8000\",
        \"zone\":\"$2\",\"slots\":8,\"state\":\"ready\",\"born\":1}" >/dev/null
}
route() { # route PREFIX [FIELDS]
    printf '{"name":"%s","hostname":"a.example","pathPrefix":"%s","kind":"idempotent","timeoutMs":3000,"service":"s",' "$1" "$1"
    printf '"maxAttempts":3%s}' "${2:-}"
}
servers_of() { # servers_of PATH [KEY]: the servers that 20 calls reach
    for number in $(seq 20); do
        curl -s -m 5 -H "Host: a.example" -H "Attempt-Id: c$number" -H "Authorization: Bearer ${2:-key}" \
            -H "Deadline-Ms: 3000" "http://$ENTRY:8080$1"
    done | sort -u | tr '\n' ' '
}

start platform "$BIN/platform-standin" "$STORE"
wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
put_server 1 a
put_server 2 b
put_server 3 c
for server in 1 2 3; do
    start "backend-$server" python3 -u backend.py "$NET.1.$server" 8000
done
curl -s -X POST "http://$STORE/put?kind=config&name=main" -d "{\"version\":2,\"routes\":[$(route /all/),
    $(route /north/ ',"allowedRegions":["north"]'), $(route /south/ ',"allowedRegions":["south"]'),
    $(route /west/ ',"allowedRegions":["west"]')],\"limits\":{},\"services\":[{\"name\":\"s\"}],
    \"tenants\":[{\"name\":\"org\",\"apiKeys\":[\"key\"]},
    {\"name\":\"northern\",\"apiKeys\":[\"nkey\"],\"allowedRegions\":[\"north\",\"west\"]}]}" >/dev/null
write_entry_settings entry-1 "$ENTRY" "$STORE" 8 1 a
# The region of domain c is not known.
sed -i 's/"seeds"/"zones":{"a":"north","b":"south"},"seeds"/' "$WORK/entry-1.json"
start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
wait_until 10 grep -q "event=backend .*i-3" "$WORK/entry-1.log"
wait_until 10 grep -q "event=configuration version=2 " "$WORK/entry-1.log"

# Every call of these reaches the one server inside, although others are as good or better.
expect "the route's region" "$(servers_of /north/x)" "$NET.1.1 "
expect "the other region" "$(servers_of /south/x)" "$NET.1.2 "
expect "the organisation's region" "$(servers_of /all/x nkey)" "$NET.1.1 "
# The bounds of milliseconds leave room for a busy machine; a call that waits for a server would take 1050 ms at least.
for refused in "/south/x nkey" "/west/x key"; do
    read -r path key <<<"$refused"
    started=$(date +%s%3N)
    answer=$(curl -s -m 5 -w '%{http_code}' -H "Host: a.example" -H "Attempt-Id: r" -H "Authorization: Bearer $key" \
        -H "Deadline-Ms: 3000" "http://$ENTRY:8080$path" | tr -d '\n')
    took=$(($(date +%s%3N) - started))
    expect "a call without an allowed region" "$answer" '{"verdict":"not_run","reason":"region"}503'
    [ "$took" -lt 500 ] || expect "time of a refusal" "$took ms" "at once"
done
# A server that is listed but cannot be reached must not send its calls elsewhere.
kill_hard backend-1
expect "calls while the server inside is away" "$(servers_of /north/x | grep -o "$NET" || true)" ""
expect "unrestricted calls" "$(servers_of /all/x | grep -o "$NET" | sort -u)" "$NET"
curl -s "http://$ENTRY:9464/metrics" >"$WORK/metrics"
grep -q 'pomelo_failures_total{.*reason="region"} [1-9]' "$WORK/metrics" ||
    expect "the metric of refusals" "absent" "present"
