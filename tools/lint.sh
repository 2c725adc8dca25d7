#!/usr/bin/env bash
# Formatter and linter over our own code. Usage: tools/lint.sh [BUILD [FILE...]]
# With files, only those are checked; a file unchanged since its last clean
# run with the same headers and settings is not linted again.
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
headers=$(git ls-files --cached --others --exclude-standard -- '*.h' .clang-tidy | sort | xargs -r cat | sha256sum | cut -c1-16)
cache=$build/lint
mkdir -p "$cache"
lint_one() {
    local file=$1 mark
    mark=$2/$( (echo "$3"; cat "$file") | sha256sum | cut -c1-24)
    [ -e "$mark" ] && return 0
    clang-tidy --quiet -p "$4" "$file" 2>/dev/null || { echo "lint: $file is not clean" >&2; return 1; }
    : >"$mark"
}
export -f lint_one
sources=()
for file in "${files[@]}"; do
    case "$file" in *.cpp) sources+=("$file") ;; esac
done
[ "${#sources[@]}" -eq 0 ] || printf '%s\0' "${sources[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'lint_one "$@"' _ {} "$cache" "$headers" "$build"
echo "lint: ${#sources[@]} sources clean"
