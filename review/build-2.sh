#!/usr/bin/env bash
# Checks that the stand-ins of review/6 to review/10 can start. They are Python programs of the standard library in
# review/common-2 and in the folders of the cases, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sorted(pathlib.Path(".").glob("common-2/*.py")) + sorted(pathlib.Path(".").glob("[6-9]/*.py")) + sorted(pathlib.Path(".").glob("10/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
