#!/usr/bin/env bash
# Runs all benchmarks, or only the named ones, and prints one line per figure:
#   NAME METRIC VALUE UNIT BOUND held|short
# Usage: tools/bench.sh [NAME...]
# Names: relay state logsize planning config selectors shares waiting queue placement packing preemption
set -uo pipefail
cd "$(dirname "$0")/.."
build=${TEASEL_BUILD:-build}
tools/install.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" >/dev/null || exit 1
names=("$@")
[ "${#names[@]}" -gt 0 ] || names=(state config selectors shares waiting queue placement packing preemption planning logsize relay)
failed=0
for name in "${names[@]}"; do
    case "$name" in
        relay) python3 tools/bench_relay.py --build "$build" || failed=1 ;;
        *) "$build/bench-$name" || failed=1 ;;
    esac
done
exit "$failed"
