#include <benchmark/benchmark.h>

#include "knapweed/base/log.h"

int main(int argc, char** argv) {
  knapweed::SetLogLevel(knapweed::LogLevel::kError);
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 1;
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
