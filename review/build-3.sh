#!/usr/bin/env bash
# The stand-ins of the third review are Python scripts that use the standard library only, so this checks that they
# compile, without leaving anything behind. The cases start target/bin/pomelo-entry as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-3/*.py 1[1-5]/*.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
