#!/usr/bin/env bash
# Checks the format of the project's code and runs the linter.
# Usage: tools/lint.sh [BUILD [FILE...]]
# If files are given, only those are checked. A file is not linted again if it,
# the headers that it includes and the linter's settings are unchanged since its
# last clean run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
[ "$#" -gt 0 ] && shift
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '^schema/generated/')
fi
clang-format --dry-run --Werror "${files[@]}"
echo "format: ${#files[@]} files clean"
cache=$build/lint
mkdir -p "$cache"
lint_one() {
    local key=$1 file=$2
    [ -e "$3/$key" ] && return 0
    clang-tidy --quiet -p "$4" "$file" 2>/dev/null || { echo "lint: $file is not clean" >&2; return 1; }
    : >"$3/$key"
}
export -f lint_one
sources=()
for file in "${files[@]}"; do
    case "$file" in *.cpp) sources+=("$file") ;; esac
done
[ "${#sources[@]}" -eq 0 ] || python3 tools/lint_keys.py "${sources[@]}" | xargs -P "$(nproc)" -L 1 bash -c 'lint_one "$2" "$3" "$0" "$1"' "$cache" "$build"
echo "lint: ${#sources[@]} sources clean"
