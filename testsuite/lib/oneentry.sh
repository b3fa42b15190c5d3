# One entry instance on the users' platform with a single backend server of the case. Sourced after cluster.sh.

STORE=$NET.0.1:7000
ENTRY=$NET.3.1

expect() { # expect WHAT ACTUAL EXPECTED
    [ "$2" = "$3" ] || {
        echo "$1: got '$2', expected '$3'" >&2
        exit 1
    }
}

call() { # call ATTEMPT PATH: prints the answer and its status, or the error of the client
    curl -s -m 5 -w '%{http_code}\n' -H "Host: a.example" -H "Attempt-Id: $1" -H "Authorization: Bearer key" \
        -H "Deadline-Ms: 3000" "http://$ENTRY:8080$2" || echo "curl=$?"
}

runs() { # runs ATTEMPT: prints how often the case's backend.py has run an attempt
    grep -c "^run $1\$" "$WORK/backend.log" || true
}

listens() { # listens IP PORT: whether something accepts connections there
    (: </dev/tcp/"$1"/"$2")
}

start_one_entry() { # start_one_entry [MEMORY_MB]: starts the platform, the case's backend.py and the instance
    start backend python3 -u backend.py "$NET.1.1" 8000
    start platform "$BIN/platform-standin" "$STORE"
    # Calls to a server that does not listen yet would open its circuit.
    wait_until 10 listens "$NET.1.1" 8000
    write_entry_settings entry-1 "$ENTRY" "$STORE" 8 1 a "${1:-0}"
    wait_until 5 curl -sf "http://$STORE/runs?attempt=none"
    curl -s "http://$STORE/put?kind=servers&name=i-1" -d "{\"service\":\"s\",\"address\":\"$NET.1.1:8000\",
        \"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":1}" >/dev/null
    start entry-1 "$BIN/pomelo-entry" --settings "$WORK/entry-1.json"
    wait_until 10 grep -q "event=backend .*i-1" "$WORK/entry-1.log"
}
