#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, with the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/$(basename "$source" .cpp)"
done
