# Starts and stops stand-ins and instances on loopback addresses; sourced by the cases and by scripts/demo.sh.
#
# The sourcing script sets BIN (folder of the built programs) first. POMELO_NET chooses the first two bytes of the
# addresses, 127.40 by default: platform NET.0.1:7000, engine i NET.1.i:8000, service i NET.2.i:8000, instance i
# NET.3.i with the router on port 8080. Every process is stopped by its own process id.

NET=${POMELO_NET:-127.40}
OPERATOR_TOKEN=operator-token
SHARED_KEY=loopback-shared-key
PLATFORM=$NET.0.1:7000
WORK=$(mktemp -d "${TMPDIR:-/tmp}/pomeloport.XXXXXX")
declare -A PIDS=()
trap cluster_end EXIT

# Ends every process that is still running, first by SIGTERM, after two seconds by SIGKILL.
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

# kill_hard NAME: ends a process without warning.
kill_hard() {
    kill -KILL "${PIDS[$1]}"
    wait "${PIDS[$1]}" 2>/dev/null || true
    unset "PIDS[$1]"
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds; fails when the time is up.
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

# start_engine NUMBER [OPTION...]: every third engine ignores fencing numbers, as declared.
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

# write_declarations FILE ENGINES SERVICES VERSION: the version is that of the model for short questions.
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
