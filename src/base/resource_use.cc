#include "knapweed/base/resource_use.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace knapweed {
namespace {

Ms ToMs(const timeval& time) {
  return Ms{int64_t{time.tv_sec} * 1000 + time.tv_usec / 1000};
}

int64_t ReadResidentKb() {
  std::ifstream in("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  if (!(in >> total_pages >> resident_pages)) return 0;
  return resident_pages * sysconf(_SC_PAGESIZE) / 1024;
}

}  // namespace

ResourceUse ReadResourceUse() {
  ResourceUse use;
  use.resident_kb = ReadResidentKb();
  rusage counts{};
  if (getrusage(RUSAGE_SELF, &counts) != 0) return use;
  use.processor = ToMs(counts.ru_utime) + ToMs(counts.ru_stime);
  use.peak_resident_kb = counts.ru_maxrss;
  return use;
}

}  // namespace knapweed
