#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs of the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(glob.glob("review/*/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("checked", path)
PY
