#include "knapweed/rules/rules_holder.h"

#include <urcu/urcu-memb.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace knapweed {
namespace {

/// Registers the current thread with liburcu until the thread ends.
struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

void EnsureRegistered() {
  thread_local ThreadRegistration registration;
  (void)registration;
}

/// One published configuration. `head` must be the first member: liburcu's
/// callback gets its address, which is then that of the node.
struct Node {
  rcu_head head{};
  std::shared_ptr<const Rules> rules;
};

void FreeNode(rcu_head* head) { delete reinterpret_cast<Node*>(head); }

}  // namespace

struct RulesHolder::Impl {
  std::atomic<Node*> current{nullptr};
  /// Serializes publishers and guards the members below; readers never lock it.
  std::mutex publish_mu;
  /// The newest configuration as published, without denials.
  std::shared_ptr<const Rules> committed;
  /// Digests of denied keys.
  std::set<std::string, std::less<>> denied;

  /// Makes `rules` current and frees the old node after its last reader.
  void Swap(std::shared_ptr<const Rules> rules);
  /// Makes `committed` current, with denied keys marked as withdrawn.
  void PublishWithDenials();
};

void RulesHolder::Impl::Swap(std::shared_ptr<const Rules> rules) {
  Node* node = new Node;
  node->rules = std::move(rules);
  Node* old = current.exchange(node, std::memory_order_acq_rel);
  if (old == nullptr) return;
  EnsureRegistered();
  urcu_memb_call_rcu(&old->head, FreeNode);
}

void RulesHolder::Impl::PublishWithDenials() {
  if (denied.empty()) {
    Swap(committed);
    return;
  }
  auto copy = std::make_shared<Rules>(*committed);
  for (KeyRecord& key : copy->keys.Edit())
    key.withdrawn |= denied.contains(key.digest);
  Swap(std::move(copy));
}

RulesHolder::ReadGuard::ReadGuard(const RulesHolder& holder) {
  EnsureRegistered();
  urcu_memb_read_lock();
  const Node* node = holder.impl_->current.load(std::memory_order_acquire);
  rules_ = node->rules.get();
}

RulesHolder::ReadGuard::~ReadGuard() { urcu_memb_read_unlock(); }

RulesHolder::RulesHolder() : impl_(std::make_unique<Impl>()) {
  impl_->committed = std::make_shared<const Rules>();
  impl_->Swap(impl_->committed);
}

RulesHolder::~RulesHolder() {
  urcu_memb_barrier();
  delete impl_->current.load();
}

std::shared_ptr<const Rules> RulesHolder::Snapshot() const {
  EnsureRegistered();
  urcu_memb_read_lock();
  std::shared_ptr<const Rules> rules =
      impl_->current.load(std::memory_order_acquire)->rules;
  urcu_memb_read_unlock();
  return rules;
}

bool RulesHolder::Publish(std::unique_ptr<const Rules> rules) {
  const std::scoped_lock lock(impl_->publish_mu);
  if (rules->version <= impl_->committed->version) return false;
  impl_->committed = std::move(rules);
  impl_->PublishWithDenials();
  return true;
}

uint64_t RulesHolder::version() const { return Read()->version; }

bool RulesHolder::Deny(std::string_view key_digest) {
  const std::scoped_lock lock(impl_->publish_mu);
  const bool added = impl_->denied.emplace(key_digest).second;
  if (added) impl_->PublishWithDenials();
  return std::ranges::any_of(impl_->committed->keys, [&](const KeyRecord& key) {
    return key.digest == key_digest;
  });
}

void RulesHolder::LiftDenial(std::string_view key_digest) {
  const std::scoped_lock lock(impl_->publish_mu);
  const auto it = impl_->denied.find(key_digest);
  if (it == impl_->denied.end()) return;
  impl_->denied.erase(it);
  impl_->PublishWithDenials();
}

}  // namespace knapweed
