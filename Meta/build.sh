#!/usr/bin/env bash
# Configures and builds. Usage: Meta/build.sh [build folder] [cmake options...]
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder"
