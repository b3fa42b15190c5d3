#!/usr/bin/env bash
# Runs the fault matrix of single faults: no possible cell may violate a guarantee.
set -euo pipefail
output=$("$1/fault-matrix" --seed 1) || {
    grep -A 4 '^FAILED' <<<"$output"
    exit 1
}
tail -n 1 <<<"$output"
# Guards against a matrix that reports no violation because it ran almost no cells.
run=$(sed -n 's/^cells=[0-9]* run=\([0-9]*\) .*/\1/p' <<<"$output")
[ "$run" -ge 200 ]
