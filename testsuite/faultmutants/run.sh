#!/usr/bin/env bash
# Mutation test of the fault matrix: its checks must report every deliberately injected defect.
set -euo pipefail
"$1/fault-matrix" --seed 1 --mutants | tee /dev/stderr | tail -n 1 | grep -q '^mutants=18 caught=18 '
