#!/usr/bin/env bash
# Installs what is missing, builds, checks formatting and lint, and runs every test. Ends with CTest's closing line.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake --preset release >/dev/null
cmake --build --preset release
scripts/lint.sh
ctest --preset release
