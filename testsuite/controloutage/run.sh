#!/usr/bin/env bash
# While the platform's store is down, instances keep serving, a killed controller is replaced, and a new instance starts
# with the latest configuration from its peers. After the outage a configuration change takes effect on all instances.
set -euo pipefail
BIN=$1 KV_TOKENS=40000
. "$(dirname "$0")/../lib/cluster.sh"

# config_versions INSTANCE: prints how many distinct configuration versions the status of an instance shows.
config_versions() {
    curl -sf --max-time 2 -H "Authorization: Bearer $OPERATOR_TOKEN" \
        "http://$(router_address "$1")/v1/operator/status" | python3 -c '
import json, sys
print(len({i["config_version"] for i in json.load(sys.stdin)["instances"]}))'
}

one_version() {
    [ "$(config_versions 4)" = 1 ]
}

fault() {
    curl -sf -d "$1" "http://$PLATFORM/faults" >/dev/null
}

all_lookups() {
    local i
    for i in 1 2 3 4; do
        request "$i" foremen '{"kind":"lookup","prompt":"What is a clip batch?","max_tokens":4}' | fields verdict chunks
    done | sort | uniq -c | sed 's/^ *//'
}

start_system 2 1 3 >&2
ctl apply --wait "$WORK/after.yaml" >&2
fault '{"outage":true}'
kill_hard controller-2
start controller-2 "$BIN/pomelo-controller" --settings "$WORK/controller-2.yaml"
start_instance 4 4
{
    wait_until 15 is_ready 4 && echo "fresh instance: ready during the outage"
    wait_until 15 sees_instances 4 && echo "instances seen: 4"
    wait_until 5 one_version && echo "configuration versions in force: 1"
    echo "lookups: $(all_lookups)"
    fault '{"outage":false}'
    ctl apply --wait "$WORK/before.yaml" | grep -E '^in_force' | tr -s ' '
} | expect
