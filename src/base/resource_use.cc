#include "knapweed/base/resource_use.h"

#include <sys/resource.h>

#include <fstream>
#include <string>

namespace knapweed {
namespace {

Ms ToMs(const timeval& time) {
  return Ms{int64_t{time.tv_sec} * 1000 + time.tv_usec / 1000};
}

/// Reads the sizes from the process's status, because `rusage` counts what the
/// parent used before it started this program.
void ReadMemory(ResourceUse& use) {
  std::ifstream in("/proc/self/status");
  std::string word;
  while (in >> word) {
    if (word == "VmRSS:") in >> use.resident_kb;
    if (word == "VmHWM:") in >> use.peak_resident_kb;
  }
}

}  // namespace

ResourceUse ReadResourceUse() {
  ResourceUse use;
  ReadMemory(use);
  rusage counts{};
  if (getrusage(RUSAGE_SELF, &counts) == 0) {
    use.processor = ToMs(counts.ru_utime) + ToMs(counts.ru_stime);
  }
  return use;
}

}  // namespace knapweed
