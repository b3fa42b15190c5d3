#!/usr/bin/env bash
# Runs the short subset of bench-decisions: placement must keep its bounds on virtual time.
set -euo pipefail
bin=$1
output=$("$bin/bench-decisions" --short) || {
    grep 'verdict=fail' <<<"$output"
    exit 1
}
# Guards against a bench that reports no failure because it checked almost no bounds.
bounds=$(grep -c 'verdict=pass' <<<"$output")
[ "$bounds" -ge 20 ] || {
    echo "only $bounds bounds passed, expected at least 20"
    exit 1
}
