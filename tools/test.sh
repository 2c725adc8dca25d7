#!/usr/bin/env bash
# Installs the packages, builds, checks format and lint, and runs all tests.
# Usage: tools/test.sh [--build DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
[ "${1:-}" = "--build" ] && build=$2
tools/install.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
tools/lint.sh "$build"
python3 tools/run_tests.py --build "$build"
