#!/usr/bin/env bash
# Builds the programs of the second review's scripts into build/review-2/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "build/review-2/case-$number"
done
