#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs of the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in ["review/common-2/standins.py", *(f"review/{n}/case.py" for n in range(6, 11))]:
    try:
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
    except FileNotFoundError:
        continue
    print("checked", path)
PY
