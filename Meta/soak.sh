#!/usr/bin/env bash
# Plays the randomized fault soak on the programs of the build (Meta/build.sh first). Meta/soak.sh --help lists its options.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -B Meta/soak/main.py "$@"
