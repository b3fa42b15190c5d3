#!/usr/bin/env bash
# Invalid input is rejected with a specific error and the verdict "not_run", and the router keeps running.
set -euo pipefail
BIN=$1 KV_TOKENS=40000
. "$(dirname "$0")/../lib/cluster.sh"

start_system 2 1 1 >&2
url=http://$(router_address 1)/v1/requests
token="Authorization: Bearer token-foremen"

# attempt NAME CURL-ARGUMENTS...: sends a request and prints the status and the verdict and reason of the reply.
attempt() {
    local name=$1 status
    shift
    status=$(curl -s --max-time 10 -o "$WORK/reply" -w '%{http_code}' "$@" "$url" || true)
    echo "$name: $status $(fields verdict reason <"$WORK/reply")"
    : >"$WORK/reply"
}

# raw TEXT: sends bytes as they are and prints the status line.
raw() {
    python3 -c '
import socket, sys
host, port = sys.argv[1].rsplit(":", 1)
peer = socket.create_connection((host, int(port)), timeout=10)
peer.sendall(sys.argv[2].encode().decode("unicode_escape").encode("latin-1"))
data = b""
try:
    while b"\r\n" not in data:
        part = peer.recv(4096)
        if not part:
            break
        data += part
except OSError as error:
    data = str(error).encode()
print(data.split(b"\r\n")[0].decode("latin-1") or "closed without an answer")' "$(router_address 1)" "$1"
}

issued=$(now_ms)
python3 -c 'print("{\"kind\":\"lookup\",\"prompt\":\"" + "x" * 9000000 + "\"}")' >"$WORK/oversized"
python3 -c 'print("{\"kind\":\"hire_history\",\"prompt\":\"" + "clip " * 400000 + "\",\"max_tokens\":2}")' >"$WORK/toolarge"
{
    attempt "malformed JSON" -H "$token" -d '{"kind": "lookup", '
    attempt "not an object" -H "$token" -d '[1]'
    attempt "unknown field" -H "$token" -d '{"kind":"lookup","prompt":"a","colour":"red"}'
    attempt "wrong type" -H "$token" -d '{"kind":"lookup","prompt":7}'
    attempt "no token" -d '{"kind":"lookup","prompt":"a"}'
    attempt "unknown token" -H "Authorization: Bearer nobody" -d '{"kind":"lookup","prompt":"a"}'
    attempt "no such kind" -H "$token" -d '{"kind":"dance","prompt":"a"}'
    attempt "missing key" -H "$token" -d '{"kind":"issue_credit","prompt":"a","non_idempotent":true}'
    attempt "deadline in the past" -H "$token" -d '{"kind":"lookup","prompt":"a","deadline_ms":-5}'
    attempt "prompt larger than any group" -H "$token" --data-binary "@$WORK/toolarge"
    attempt "oversized body" -H "$token" -H "Expect:" --data-binary "@$WORK/oversized"
    attempt "oversized header" -H "$token" -H "X-Long: $(printf 'x%.0s' $(seq 20000))" -d '{"kind":"lookup","prompt":"a"}'
    attempt "first use of a key" -H "$token" -d "$(action_body key-1 "$issued" one)"
    attempt "key reused with another body" -H "$token" -d "$(action_body key-1 "$issued" two)"
    attempt "key from the future" -H "$token" -d "$(action_body key-2 $((issued + 3600000)) one)"
    echo "not HTTP: $(raw 'hello\r\n\r\n')"
    echo "slow header: $(raw 'POST /v1/requests HTTP/1.1\r\nHost: a\r\n')"
    echo "runs: $(runs_of key-1 1) $(runs_of key-2 1)"
    attempt "afterwards" -H "$token" -d '{"kind":"lookup","prompt":"a","max_tokens":2}'
    echo "the same router runs: $(is_gone router-1 && echo no || echo yes)"
} | expect
