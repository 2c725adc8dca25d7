#!/usr/bin/env bash
# Checks that every test named in docs/GUARANTEES.md exists and passed in the last full run.
# Usage: tools/guarantees.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/guarantees.py --build "${1:-build}"
