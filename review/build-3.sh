#!/bin/bash
# Builds the stand-ins of this review's cases into target/review-3. It needs no
# more than the deploy file's build does.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags="-std=c++20 -O1 -Wall -DBOOST_ASIO_DISABLE_AWAITABLE_FRAME_RECYCLING"
g++ $flags -c review/standin-3/standin.cpp -o target/review-3/standin.o
for source in review/standin-3/case_*.cpp; do
  name=$(basename "$source" .cpp)
  g++ $flags "$source" target/review-3/standin.o -o "target/review-3/$name" -lpthread
done
