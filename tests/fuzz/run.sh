#!/usr/bin/env bash
# Builds the selector fuzzer with clang and runs it. Usage: tests/fuzz/run.sh [RUNS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-1000000}
seed=${2:-20261204}
out=build/fuzz
mkdir -p "$out"
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -DFMT_SHARED -I. -isystem schema/generated \
    tests/fuzz/selector_fuzz.cpp naming/selector.cpp naming/selector_parser.cpp naming/name_table.cpp \
    core/error_kind.cpp core/invariant.cpp schema/generated/{common,placement,fleet}.pb.cc \
    -lfmt -lxxhash -lprotobuf $(pkg-config --libs absl_raw_hash_set absl_hash) -o "$out/selector_fuzz"
printf 'zone = a and "k" not in (b, "c d") and not exists ours:x' >"$out/seed.txt"
mkdir -p "$out/corpus" && cp "$out/seed.txt" "$out/corpus/"
"$out/selector_fuzz" -runs="$runs" -seed="$seed" -max_len=256 -dict=tests/fuzz/selector.dict "$out/corpus"
