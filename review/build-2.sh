#!/usr/bin/env bash
# Builds the test programs of the cases from review/6 on, with their stand-ins, into target/review-2/. Run it after the
# build of deploy/system.toml; it needs only packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$name"
done
