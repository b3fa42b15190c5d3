#!/usr/bin/env bash
# Control decisions stay within their bounds on traffic, store calls, latency and memory on a virtual network.
set -euo pipefail
"$1/bench-control" --quick --seed 2
