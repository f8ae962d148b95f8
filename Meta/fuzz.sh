#!/usr/bin/env bash
# Builds the libFuzzer targets with clang and runs each a fixed number of times from a fixed seed. Fails on a finding;
# the input that caused it stays in build-fuzz/findings. Inputs to start from lie in Tests/Fuzz/corpus.
# Usage: Meta/fuzz.sh [runs] [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-20000}"
seed="${2:-20261203}"
folder=build-fuzz
cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Debug -DMERLINPIER_FUZZERS=ON \
    -DMERLINPIER_SANITIZER=address,undefined -DCMAKE_CXX_FLAGS="-O1 -fsanitize=fuzzer-no-link -fno-sanitize-recover=all" \
    >/dev/null
names=()
for source in Tests/Fuzz/*_fuzz.cpp; do names+=("$(basename "$source" .cpp)"); done
cmake --build "$folder" --target "${names[@]}"
mkdir -p "$folder/findings"
for name in "${names[@]}"; do
    echo "-- $name: $runs runs, seed $seed"
    corpus=$(mktemp -d)
    log="$folder/$name.log"
    if ! "$folder/fuzz/$name" -runs="$runs" -seed="$seed" -max_len=4096 -artifact_prefix="$folder/findings/$name-" \
        "$corpus" $(ls -d "Tests/Fuzz/corpus/$name" 2>/dev/null) >"$log" 2>&1; then
        tail -n 40 "$log" >&2
        echo "$name found a fault: see $log and $folder/findings" >&2
        rm -rf "$corpus"
        exit 1
    fi
    tail -n 1 "$log"
    rm -rf "$corpus"
done
