#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
g++ $flags -c review/standin/standin.cpp -o target/review/standin.o
for source in review/standin/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ $flags "$source" target/review/standin.o -o "target/review/$name"
done
