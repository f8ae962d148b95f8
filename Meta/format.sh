#!/usr/bin/env bash
# Checks the format of every source; with --fix, rewrites the sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '_generated\.h$' | xargs -r clang-format "${mode[@]}"
