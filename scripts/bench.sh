#!/usr/bin/env bash
# Builds and runs every bench program and prints its figures. Exits with code 1 if a program does; bench-decisions and
# bench-control do when a bound is exceeded, bench-relay when a stream fails.
# Usage: scripts/bench.sh [--report]
#   --report  also writes report/index.html with plots, and the figures as JSON beside it
set -uo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null && cmake --build --preset release || exit 1
want_report=no
[ "${1:-}" = --report ] && want_report=yes
mkdir -p report
status=0
for program in build/bin/bench-*; do
    [ -x "$program" ] || continue
    name=$(basename "$program")
    echo "== $name"
    "$program" | tee "report/$name.txt"
    result=${PIPESTATUS[0]}
    [ "$result" -eq 0 ] || status=1
done
if [ "$want_report" = yes ]; then
    python3 scripts/benchreport.py report || status=1
fi
failed=$(cat report/bench-*.txt | grep -c 'verdict=fail')
missed=$(cat report/bench-*.txt | grep -c 'verdict=aim_missed')
echo "bounds failed: $failed, aims missed: $missed"
exit "$status"
