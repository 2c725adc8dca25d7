#!/usr/bin/env bash
# Installs, builds, starts a small fleet, runs a minute of mixed load while it
# kills an entry and a state process, and reports which checks failed.
set -euo pipefail
cd "$(dirname "$0")/.."
case " $* " in
    *" --help "* | *" -h "*) exec python3 tools/demo.py --help ;;
esac
tools/install.sh
build=${TEASEL_BUILD:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target teasel-entry teasel-state standin-executor standin-worker standin-caller
exec python3 tools/demo.py --build "$build" "$@"
