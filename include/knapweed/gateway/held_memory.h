#ifndef KNAPWEED_GATEWAY_HELD_MEMORY_H_
#define KNAPWEED_GATEWAY_HELD_MEMORY_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "knapweed/base/metrics.h"
#include "knapweed/policy/memory_guard.h"

/// Ledger of the bytes that a gateway holds for callers and upstreams.
namespace knapweed::gateway {

/// Sum over all calls of the process, and its bound. `Gateway` owns it. Not
/// thread-safe.
class HeldMemory {
 public:
  /// Counts nothing if `memory_mb`, the memory of the machine, is 0.
  HeldMemory(uint64_t memory_mb, Metrics& metrics);

  bool is_bounded() const { return account_->state.limit_bytes > 0; }
  /// Returns the bound of the copies of turns that are being stored or decoded;
  /// 0 if there is none.
  uint64_t copies_limit_bytes() const { return copies_limit_bytes_; }
  const HeldState& state() const { return account_->state; }
  /// Returns the size to set for the buffers of callers' and upstreams'
  /// sockets; 0 if the kernel chooses.
  size_t socket_buffer_bytes() const {
    return is_bounded() ? kSocketBufferBytes : 0;
  }
  /// Logs and counts a request that was refused because `wanted_bytes` more did
  /// not fit.
  void ReportRefusal(std::string_view request_id, uint64_t wanted_bytes);
  /// Sets the gauges of the bytes held now and at most so far.
  void UpdateGauges();

 private:
  friend class HeldBytes;
  struct Account {
    HeldState state;
    uint64_t peak_bytes = 0;
  };

  Metrics& metrics_;
  uint64_t copies_limit_bytes_;
  /// Shared, because calls that a stopping loop drops outlive the gateway.
  std::shared_ptr<Account> account_;
};

/// One entry of the ledger. Its destructor removes it.
class HeldBytes {
 public:
  explicit HeldBytes(const HeldMemory& memory) : account_(memory.account_) {}
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes() { Set(0); }

  /// Replaces the size of this entry. Does not check the bound.
  void Set(uint64_t bytes);
  uint64_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<HeldMemory::Account> account_;
  uint64_t bytes_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_HELD_MEMORY_H_
