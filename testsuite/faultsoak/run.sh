#!/usr/bin/env bash
# Short run of the randomized fault soak over the seeds in testsuite/soak/seeds.txt, which lists every seed that has
# failed.
set -euo pipefail
BIN=$(cd "$1" && pwd)
cd "$(dirname "$0")/../soak"
seeds=$(sed 's/#.*//' seeds.txt | tr -s ' \n' ',' | sed 's/^,//; s/,$//')
python3 checks_test.py 2>&1 | tail -n 3
POMELO_NET=127.47 python3 soak.py "$BIN" --seeds "$seeds" --seconds 8
