#!/usr/bin/env bash
# Runs randomised tests of the real modules with fault injection for a given time.
# Each run prints the injected faults and the completed work, and fails if either
# is none. A failing seed is printed as the command that reproduces it.
# Usage: tools/soak.sh [--seed N] [--minutes M]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
minutes=5
while [ "$#" -gt 0 ]; do
    case "$1" in
        --seed) seed=$2; shift 2 ;;
        --minutes) minutes=$2; shift 2 ;;
        *) sed -n 2,6p "$0"; exit 64 ;;
    esac
done
build=${TEASEL_BUILD:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" >/dev/null
end=$((SECONDS + minutes * 60))
failed=0
while [ "$SECONDS" -lt "$end" ]; do
    for plane in leadership consensus_random fleet_random requests_random placement_random; do
        echo "== $plane seeds $seed to $((seed + 99))"
        TEASEL_FIRST_SEED=$seed TEASEL_SEEDS=100 setarch -R "$build/${plane}_test" || failed=1
    done
    seed=$((seed + 100))
done
echo "last seed: $((seed - 1)); $([ "$failed" -eq 0 ] && echo "no run failed" || echo "a run failed")"
exit "$failed"
