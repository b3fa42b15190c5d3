# Starts and stops the stand-ins (platform, engines, services) and instances on loopback addresses. Sourced by the test
# cases and by scripts/demo.sh.
#
# The sourcing script must set BIN (the folder of the built programs) first. POMELO_NET sets the first two bytes of the
# addresses, 127.40 by default: platform NET.0.1:7000, engine i NET.1.i:8000, service i NET.2.i:8000, instance i
# NET.3.i with its router on port 8080. Every process is stopped by its own process id.

NET=${POMELO_NET:-127.40}
OPERATOR_TOKEN=operator-token
SHARED_KEY=loopback-shared-key
PLATFORM=$NET.0.1:7000
WORK=$(mktemp -d "${TMPDIR:-/tmp}/pomeloport.XXXXXX")
declare -A PIDS=()
trap cluster_end EXIT
trap "exit 130" INT
trap "exit 143" TERM

# Exit handler: stops every process that is still running with SIGTERM, and after two seconds with SIGKILL. Deletes the
# working folder on success and keeps it on failure.
cluster_end() {
    local status=$? name tries
    for name in "${!PIDS[@]}"; do
        kill -TERM "${PIDS[$name]}" 2>/dev/null || true
    done
    for tries in $(seq 20); do
        any_running || break
        sleep 0.1
    done
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2>/dev/null || true
        wait "${PIDS[$name]}" 2>/dev/null || true
    done
    PIDS=()
    if [ "$status" -eq 0 ]; then
        rm -rf "$WORK"
    else
        echo "logs and settings are kept in $WORK" >&2
    fi
    exit "$status"
}

any_running() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -0 "${PIDS[$name]}" 2>/dev/null && return 0
    done
    return 1
}

# start NAME PROGRAM [ARGUMENT...]: starts a program in the background with its output in NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# write_entry_settings NAME IP STORE GRACE_S [CORES [DOMAIN [MEMORY_MB]]]: writes the settings of an entry instance on the users'
# platform to NAME.json. It serves callers on port 8080, readiness on 8081 and discovery on 8082. SEEDS is a list of JSON
# strings with addresses of other instances; EVACUATE_MS sets the bound on evacuations.
write_entry_settings() {
    local evacuate=
    [ -z "${EVACUATE_MS:-}" ] || evacuate=",\"evacuateMs\":$EVACUATE_MS"
    cat >"$WORK/$1.json" <<JSON
{"nodeName":"$1","region":"r","zone":"${6:-a}","ip":"$2","internalPorts":[7340,7355],
 "listen":{"front":"$2:8080","ready":"$2:8081","directory":"$2:8082"},"seeds":[${SEEDS:-}],
 "platform":{"address":"$3"},"bounds":{"graceS":$4$evacuate},"limits":{"cores":${5:-1},"memoryMb":${7:-0}}}
JSON
}

# kill_hard NAME: kills a process with SIGKILL.
kill_hard() {
    kill -KILL "${PIDS[$1]}"
    wait "${PIDS[$1]}" 2>/dev/null || true
    unset "PIDS[$1]"
}

# wait_until SECONDS COMMAND...: repeats a command every 0.1 s until it succeeds; fails after about SECONDS.
wait_until() {
    local tries=$(($1 * 10))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.1
    done
}

is_gone() {
    ! kill -0 "${PIDS[$1]}" 2>/dev/null
}

engine_address() {
    echo "$NET.1.$1:8000"
}

service_address() {
    echo "$NET.2.$1:8000"
}

router_address() {
    echo "$NET.3.$1:8080"
}

# Instances and backend servers are spread over three failure domains.
domain_of() {
    echo "domain-$((($1 - 1) % 3 + 1))"
}

start_platform() {
    start platform "$BIN/fake-platform" --listen "$PLATFORM" --list-lag-ms 1000
    wait_until 5 curl -sf "http://$PLATFORM/counts"
}

# start_engine NUMBER [OPTION...]: starts an engine. Every third one ignores fencing tokens, as write_declarations says.
start_engine() {
    local number=$1 fencing=()
    shift
    [ $((number % 3)) -ne 0 ] || fencing=(--ignore-fencing)
    start "engine-$number" "$BIN/fake-engine" --listen "$(engine_address "$number")" --name "engine-$number" \
        --platform "$PLATFORM" --kv-tokens "$KV_TOKENS" --load yard@1 yard@2 ledger@1 "${fencing[@]}" "$@"
}

start_service() {
    start "service-$1" "$BIN/fake-service" --listen "$(service_address "$1")" --name "service-$1" \
        --platform "$PLATFORM"
}

# write_declarations FILE ENGINES SERVICES VERSION: writes the declarations of a system with this many engines and
# services. VERSION is the model version of the intent for short questions.
write_declarations() {
    local file=$1 engines=$2 services=$3 version=$4 i
    {
        cat <<END
organisations:
  - {name: foremen, token: token-foremen, share_weight: 3}
  - {name: hire-desk, token: token-hire-desk, share_weight: 2}
  - {name: head-office, token: token-head-office}
intents:
  - name: actions
    kinds: [book_pickup, issue_credit, deposit_confirmation, place_order]
    worth: 5
  - name: questions
    kinds: [lookup, damage_notes, order_summary, artisan_question]
    model: yard
    version: "$version"
    priority: interactive
    worth: 2
  - name: histories
    kinds: [site_history, hire_history, batch_history, season_review]
    model: ledger
    version: "1"
    priority: background
limits: {discovery_lifetime: ${DISCOVERY_LIFETIME:-3s}}
backends:
END
        for i in $(seq "$engines"); do
            cat <<END
  - name: engine-$i
    kind: engine
    address: $(engine_address "$i")
    region: queensland
    failure_domain: $(domain_of "$i")
    kv_tokens: $KV_TOKENS
    checks_fencing: $([ $((i % 3)) -ne 0 ] && echo yes || echo no)
    load: [yard@1, yard@2, ledger@1]
END
        done
        for i in $(seq "$services"); do
            cat <<END
  - name: service-$i
    kind: service
    address: $(service_address "$i")
    region: queensland
    failure_domain: $(domain_of "$i")
END
        done
    } >"$file"
}

# write_instance_settings NUMBER COUNT: writes the router and controller settings of one of COUNT instances.
write_instance_settings() {
    local number=$1 host=$NET.3.$1 seed seeds
    for seed in 1 2 3; do
        [ "$seed" -gt "$2" ] || seeds="${seeds:+$seeds, }$NET.3.$seed:8083"
    done
    cat >"$WORK/router-$number.yaml" <<END
instance: instance-$number
region: queensland
failure_domain: $(domain_of "$number")
listen: $host:8080
controller: $host:8081
platform: $PLATFORM
shared_key: $SHARED_KEY
operator_token: $OPERATOR_TOKEN
threads: 2
END
    cat >"$WORK/controller-$number.yaml" <<END
instance: instance-$number
region: queensland
failure_domain: $(domain_of "$number")
listen: $host:8081
router: $host:8080
peers: $host:8082
datagrams: $host:8083
seeds: [$seeds]
platform: $PLATFORM
shared_key: $SHARED_KEY
sweep_interval: 1s
END
}

# start_instance NUMBER COUNT: starts one of COUNT instances.
start_instance() {
    write_instance_settings "$1" "$2"
    start "controller-$1" "$BIN/pomelo-controller" --settings "$WORK/controller-$1.yaml"
    start "router-$1" "$BIN/pomelo-router" --settings "$WORK/router-$1.yaml"
}

# ctl COMMAND...: runs pomeloctl against the running instances.
ctl() {
    local command=$1 name endpoints=()
    shift
    for name in "${!PIDS[@]}"; do
        case "$name" in router-*) endpoints+=(--endpoint "$(router_address "${name#router-}")") ;; esac
    done
    "$BIN/pomeloctl" "$command" "$@" --platform "$PLATFORM" "${endpoints[@]}" --operator-token "$OPERATOR_TOKEN"
}

is_ready() {
    curl -sf --max-time 1 "http://$(router_address "$1")/readyz"
}

# sees_instances COUNT: succeeds if instance 1 reports exactly COUNT instances as alive.
sees_instances() {
    curl -sf --max-time 1 -H "Authorization: Bearer $OPERATOR_TOKEN" \
        "http://$(router_address 1)/v1/operator/status" | python3 -c '
import json, sys
alive = [i for i in json.load(sys.stdin)["instances"] if i["state"] == "alive"]
sys.exit(0 if len(alive) == int(sys.argv[1]) else 1)' "$1"
}

# tokens_held_by ADDRESS...: prints the total KV memory, in tokens, that these engines report as held. An engine that
# does not answer counts as 1000000000, so that the total is never taken for zero.
tokens_held_by() {
    local address
    for address in "$@"; do
        curl -sf --max-time 2 "http://$address/v1/holdings" || echo '{"holdings": [{"tokens": 1000000000}]}'
        echo
    done | python3 -c '
import json, sys
print(sum(h["tokens"] for line in sys.stdin if line.strip() for h in json.loads(line)["holdings"]))'
}

# request NUMBER ORGANISATION BODY [CURL OPTION...]: posts a request to the router of an instance.
request() {
    local number=$1 organisation=$2 body=$3
    shift 3
    curl -s --max-time 30 -H "Authorization: Bearer token-$organisation" "$@" --data-binary "$body" \
        "http://$(router_address "$number")/v1/requests"
}

now_ms() {
    date +%s%3N
}

# action_body KEY ISSUED_AT TEXT: the body of a non-idempotent request.
action_body() {
    printf '{"kind":"issue_credit","prompt":"%s","max_tokens":1,"deadline_ms":%s,"non_idempotent":true,%s}' "$3" \
        "${DEADLINE_MS:-5000}" "\"idempotency_key\":\"$1\",\"issued_at_ms\":$2"
}

# runs_of KEY SERVICES: prints how often services 1 to SERVICES together ran an action.
runs_of() {
    local i
    for i in $(seq "$2"); do
        curl -sf "http://$(service_address "$i")/runs"
        echo
    done | python3 -c '
import json, sys
print(sum(json.loads(line)["runs"].get(sys.argv[1], 0) for line in sys.stdin if line.strip()))' "$1"
}

# fields NAME...: prints these fields of the JSON object on standard input on one line, as NAME=VALUE.
fields() {
    python3 -c '
import json, sys
text = sys.stdin.read()
try:
    body = json.loads(text)
    print(" ".join(f"{key}={body[key]}" for key in sys.argv[1:] if key in body))
except ValueError:
    print("not JSON:", text[:200])' "$@"
}

# start_system ENGINES SERVICES INSTANCES: starts a complete system and waits until all instances are ready and see
# each other.
start_system() {
    local engines=$1 services=$2 instances=$3 i
    write_declarations "$WORK/before.yaml" "$engines" "$services" 1
    write_declarations "$WORK/after.yaml" "$engines" "$services" 2
    start_platform
    for i in $(seq "$engines"); do
        start_engine "$i"
    done
    for i in $(seq "$services"); do
        start_service "$i"
    done
    "$BIN/pomeloctl" apply "$WORK/before.yaml" --platform "$PLATFORM" >/dev/null
    for i in $(seq "$instances"); do
        start_instance "$i" "$instances"
    done
    for i in $(seq "$instances"); do
        wait_until 15 is_ready "$i" || die "instance $i is not ready"
    done
    wait_until 15 sees_instances "$instances" || die "instance 1 does not see all $instances instances as alive"
}

die() {
    echo "failed: $*" >&2
    exit 1
}

# Compares standard input with expected.txt in the folder of the test case.
expect() {
    diff -u "$(dirname "${BASH_SOURCE[1]}")/expected.txt" - || die "the output differs from expected.txt"
}
