#!/usr/bin/env bash
# Installs missing packages, builds, checks formatting and lint, and runs every test. The last line is CTest's summary.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake --preset release >/dev/null
cmake --build --preset release
scripts/lint.sh
ctest --preset release
