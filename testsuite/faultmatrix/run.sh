#!/usr/bin/env bash
# The fault matrix of single faults: every possible cell runs without a violation.
set -euo pipefail
output=$("$1/fault-matrix" --seed 1) || {
    grep -A 4 '^FAILED' <<<"$output"
    exit 1
}
tail -n 1 <<<"$output"
# A matrix that runs next to nothing would pass by saying nothing.
run=$(sed -n 's/^cells=[0-9]* run=\([0-9]*\) .*/\1/p' <<<"$output")
[ "$run" -ge 200 ]
