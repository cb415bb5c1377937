#ifndef KNAPWEED_ENTRY_ENTRY_H_
#define KNAPWEED_ENTRY_ENTRY_H_

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "knapweed/entry/entry_config.h"

namespace knapweed {

/// One entry process: serves callers and peers until stopped. The process's
/// main function owns it.
class Entry {
 public:
  /// Starts all servers and tasks. On an error nothing is left running.
  static absl::StatusOr<std::unique_ptr<Entry>> Start(EntryConfig config);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Shuts down gracefully: fails the health check, waits until the load
  /// balancer has noticed, hands the partitions over to other entries and waits
  /// for running requests. Blocks, up to the drain limit for the last two.
  void Stop();
  /// Returns the process's state for operators.
  std::string DumpJson() const;

 private:
  struct Impl;
  explicit Entry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_ENTRY_H_
