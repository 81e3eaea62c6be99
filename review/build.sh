#!/usr/bin/env bash
# Builds the programs that the cases' scripts start, stand-ins included: review/N/program. Needs g++ and nlohmann-json3-dev, which the deploy
# file names.
set -euo pipefail
cd "$(dirname "$0")"
jobs=()
for source in [1-5]/case.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -I. "$source" -o "$(dirname "$source")/program" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
