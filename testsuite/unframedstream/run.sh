#!/usr/bin/env bash
# Answers with neither a length nor chunks end with their connection. One that ends inside an event, or before its first
# event, must not reach the caller as a complete stream.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")"
POMELO_NET=${POMELO_NET:-127.56}
source ../lib/cluster.sh
source ../lib/oneentry.sh

start_one_entry

events=$(for i in $(seq 10); do printf 'id: %d\ndata: %d\n\n' "$i" "$i"; done)
expect "whole stream" "$(call a1 /stream/whole)" "$events"$'\n\n200'
expect "stream that ended inside an event" "$(call a2 /stream/inside)" "$events"$'\n\n200'
expect "stream that ended before its first event" "$(call a3 /stream/before)" "$events"$'\n\n200'
expect "stream that never has an event" "$(call a4 /stream/never | tail -n 1)" 502
