#!/usr/bin/env bash
# Checks the stand-ins of the scripts; they are Python and need no build. The program itself is built by deploy/system.toml.
cd "$(dirname "$0")" && exec python3 - common/*.py */case.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
