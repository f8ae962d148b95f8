#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
program=$root/target/review-2/departure_unstored
[ -x "$program" ] && [ -x "$root/target/bin/merlinpier-sidecar" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout 110 "$program" "$root" "$folder" "$PWD/record.txt" "${TROUBLE:-1}"
code=$?
rm -rf "$folder"
[ $code -le 1 ] || code=2
exit $code
