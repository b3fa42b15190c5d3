#!/usr/bin/env bash
# Pauses an instance, changes an intent, and resumes the instance. Requests that were sent to it during the pause or
# later must be served under the new intent or rejected as "not_run"; none may be served under the old intent.
set -euo pipefail
BIN=$1 KV_TOKENS=40000
. "$(dirname "$0")/../lib/cluster.sh"

Body='{"kind":"lookup","prompt":"how many clips?","max_tokens":4}'
start_system 3 1 3 >&2
old=$(request 1 foremen "$Body" | fields text)
kill -STOP "${PIDS[router-1]}" "${PIDS[controller-1]}"
write_declarations "$WORK/after.yaml" 3 1 2
ctl apply "$WORK/after.yaml" >&2
sees_new() {
    [ "$(request "$1" foremen "$Body" | fields text)" != "$old" ]
}
wait_until 10 sees_new 2
wait_until 10 sees_new 3
new=$(request 2 foremen "$Body" | fields text)
for i in $(seq 8); do
    request 1 foremen "$Body" >"$WORK/waiting-$i" &
    waiting[i]=$!
done
sleep 5
kill -CONT "${PIDS[router-1]}" "${PIDS[controller-1]}"
for i in $(seq 40); do
    request 1 foremen "$Body" >"$WORK/later-$i"
done
for i in $(seq 8); do
    wait "${waiting[i]}"
done

# count FIELD EXPECTED: prints how many replies have this NAME=VALUE output of fields for the field.
count() {
    local file total=0
    for file in "$WORK"/waiting-* "$WORK"/later-*; do
        [ "$(fields "$1" <"$file")" != "$2" ] || total=$((total + 1))
    done
    echo "$total"
}
by_new=$(count text "$new")
refused=$(count verdict "verdict=not_run")
echo "answered by the new intent: $by_new, refused: $refused" >&2
wait_until 10 sees_new 1
{
    echo "answered by the old intent: $(count text "$old")"
    echo "answered by the new intent or not run: $((by_new + refused)) of 48"
} | expect
