#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. The gateway
# itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
jobs=()
for source in review/standin-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$(basename "$source" .cpp)" "$source" -pthread &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
