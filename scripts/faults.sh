#!/usr/bin/env bash
# Runs the fault matrix: single faults, pairs, mutants and random schedules. With --report it writes docs/FAULTS.md.
# Usage: scripts/faults.sh [--report] [--seed N] [--short]; --short skips pairs and random schedules.
set -euo pipefail
cd "$(dirname "$0")/.."
report=no
short=no
seed=1
while [ $# -gt 0 ]; do
    case "$1" in
    --report) report=yes ;;
    --short) short=yes ;;
    --seed) seed=$2; shift ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift
done
matrix=build/bin/fault-matrix
schedules=300
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
failed=no
run() {
    local name=$1
    shift
    echo "== $matrix --seed $seed $*"
    "$matrix" --seed "$seed" "$@" 2>&1 | tee "$output/$name" || failed=yes
}
run singles
run mutants --mutants
if [ "$short" = no ]; then
    run pairs --pairs
    run random --random "$schedules"
fi
if [ "$report" = yes ]; then
    python3 scripts/faultreport.py "$output" "$seed" >docs/FAULTS.md
fi
[ "$failed" = no ]
