#!/usr/bin/env bash
# The control decisions keep to the bounds of traffic, store calls, times and memory on a virtual network.
set -euo pipefail
"$1/bench-control" --quick --seed 2
