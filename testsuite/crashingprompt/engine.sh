#!/usr/bin/env bash
# Runs an engine that a part of prompts crashes, and starts it again as another incarnation. Like the users' platform it
# removes the entry of one that crashed only after a while.
# Usage: engine.sh NAME ADDRESS PART STORE PROGRAM
set -euo pipefail
name=$1 address=$2 part=$3 store=$4 program=$5
engine=
trap '[ -z "$engine" ] || kill "$engine" 2>/dev/null; exit 0' TERM
for incarnation in $(seq 1000); do
    id=$name-$incarnation
    "$program" --runner "$id" "$address" "$part" &
    engine=$!
    curl -s "http://$store/put?kind=servers&name=$id" -d "{\"service\":\"llm\",\"address\":\"$address\",\"zone\":\"a\",
        \"slots\":8,\"state\":\"ready\",\"born\":$incarnation}" >/dev/null
    wait "$engine" || echo "crashed $id"
    engine=
    sleep 0.5
    curl -s "http://$store/remove?kind=servers&name=$id" >/dev/null
done
