#!/usr/bin/env bash
# Runs one experiment on real processes over loopback, or lists them. The last line is one JSON object with its figures.
# Usage: Meta/measure.sh NAME [--daemons N] [--seed S] | Meta/measure.sh compare A.json B.json
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 -B Meta/measure/main.py "$@"
