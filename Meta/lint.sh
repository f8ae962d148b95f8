#!/usr/bin/env bash
# Runs clang-tidy over every source, or over those named. A source whose preprocessed inputs passed before is not run
# again: the record of passes lies in the build folder and holds the digests of the sources and of the check list.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${MERLINPIER_BUILD:-build}"
passed="$folder/lint-passed"
mkdir -p "$passed"
if [ $# -gt 0 ]; then sources=("$@"); else mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '^Tests/Fuzz/'); fi
headers=$(git ls-files -co --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum)
check() {
    local source="$1" folder="$2" passed="$3" headers="$4" key
    key=$(printf '%s %s' "$headers" "$(sha256sum "$source")" | sha256sum | cut -c1-32)
    [ -e "$passed/$key" ] && return 0
    clang-tidy -p "$folder" --quiet "$source" 2>/dev/null || { echo "lint: $source" >&2; return 1; }
    touch "$passed/$key"
}
export -f check
printf '%s\n' "${sources[@]}" | xargs -P 10 -I{} bash -c 'check "$@"' _ {} "$folder" "$passed" "$headers"
