#!/usr/bin/env bash
# Every mistake that is built into the fault matrix on purpose is reported by its checks.
set -euo pipefail
"$1/fault-matrix" --seed 1 --mutants | tee /dev/stderr | tail -n 1 | grep -q '^mutants=18 caught=18 '
