#!/usr/bin/env bash
# Runs the short subset of bench-decisions: the bounds on virtual time must hold for the placement.
set -euo pipefail
bin=$1
output=$("$bin/bench-decisions" --short) || {
    grep 'verdict=fail' <<<"$output"
    exit 1
}
# A bench without bounded lines would pass by saying nothing.
bounds=$(grep -c 'verdict=pass' <<<"$output")
[ "$bounds" -ge 20 ] || {
    echo "only $bounds bounds were checked"
    exit 1
}
