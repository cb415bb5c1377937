#ifndef KNAPWEED_ENTRY_ENTRY_H_
#define KNAPWEED_ENTRY_ENTRY_H_

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "knapweed/entry/entry_config.h"

namespace knapweed {

/// One entry process as an object: serves callers and peers until stopped.
class Entry {
 public:
  /// Starts every part, or none: an error leaves nothing running.
  static absl::StatusOr<std::unique_ptr<Entry>> Start(EntryConfig config);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// A graceful shutdown: fails the health check, waits until the balancer has
  /// seen it, hands programs over, and lets running requests end.
  void Stop();
  std::string DumpJson() const;

 private:
  struct Impl;
  explicit Entry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_ENTRY_H_
