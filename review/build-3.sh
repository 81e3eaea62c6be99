#!/usr/bin/env bash
# Builds the programs of the scripts review/11 to review/15 into target/review-3. Their stand-ins are part of them. Needs what the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/case-$number"
done
