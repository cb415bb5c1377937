#include "knapweed/policy/call_queue.h"

#include <algorithm>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "indexed_heap.h"
#include "leftist_heap.h"

namespace knapweed {
namespace {

struct CallSlot {
  QueuedCall call;
  uint32_t workspace = 0;
  LeftistNode order;
  HeapNode deadline;
};

struct OrderNodeOf {
  std::vector<CallSlot>* calls;
  LeftistNode& operator()(uint32_t item) const { return (*calls)[item].order; }
};

struct DeadlineNodeOf {
  std::vector<CallSlot>* calls;
  HeapNode& operator()(uint32_t item) const { return (*calls)[item].deadline; }
};

/// The account of one workspace. `node.key` is its virtual time: the tokens of
/// service it received, per unit of weight.
struct WorkspaceSlot {
  uint64_t hash = 0;
  double weight = 1;
  HeapNode node;
  /// The `workspace_tokens` counter when this queue first saw it, and the
  /// tokens that this queue has served since.
  uint64_t fleet_tokens_base = 0;
  uint64_t served_local_tokens = 0;
  /// Tokens served by other queues that are already charged to the virtual
  /// time.
  uint64_t charged_remote_tokens = 0;
  /// Root of the heap of its queued calls.
  uint32_t calls = kNoItem;
  bool in_use = true;
  uint64_t queued_tokens = 0;
};

struct WorkspaceNodeOf {
  std::vector<WorkspaceSlot>* workspaces;
  HeapNode& operator()(uint32_t item) const { return (*workspaces)[item].node; }
};

double PositiveWeight(double weight) { return std::max(weight, 1e-3); }

}  // namespace

struct CallQueue::Impl {
  explicit Impl(const CallQueueOptions& opts)
      : options(opts),
        order(OrderNodeOf{&calls}),
        backlogged(WorkspaceNodeOf{&workspaces}),
        deadlines(DeadlineNodeOf{&calls}) {
    // Twice the needed capacity lets the table purge erased entries in place
    // instead of reallocating.
    ticket_to_call.reserve(2 * options.reserve_calls);
    calls.reserve(options.reserve_calls);
    free_calls.reserve(options.reserve_calls);
    deadlines.reserve(options.reserve_calls);
    hash_to_workspace.reserve(2 * options.reserve_workspaces);
    workspaces.reserve(options.reserve_workspaces);
    free_workspaces.reserve(options.reserve_workspaces);
    backlogged.reserve(options.reserve_workspaces);
  }

  uint32_t NewCall(const QueuedCall& call);
  uint32_t FindOrAddWorkspace(uint64_t hash);
  void EvictIdleWorkspaces();
  void ChargeRemoteService(WorkspaceSlot& workspace,
                           const QueuedCall& call) const;
  void Charge(uint32_t item, double tokens);
  void SetWeight(WorkspaceSlot& workspace, double weight);
  QueuedCall Take(uint32_t item);

  CallQueueOptions options;
  std::vector<CallSlot> calls;
  std::vector<uint32_t> free_calls;
  std::vector<WorkspaceSlot> workspaces;
  std::vector<uint32_t> free_workspaces;
  absl::flat_hash_map<uint64_t, uint32_t> ticket_to_call;
  absl::flat_hash_map<uint64_t, uint32_t> hash_to_workspace;
  LeftistHeaps<OrderNodeOf> order;
  IndexedHeap<WorkspaceNodeOf> backlogged;
  IndexedHeap<DeadlineNodeOf> deadlines;
  /// Virtual time of the workspace served last. A workspace that becomes
  /// backlogged starts no earlier than this, so idle time earns no credit.
  double virtual_time = 0;
  uint64_t next_tie = 0;
  uint64_t tokens = 0;
  /// Total weight of the workspaces that have queued calls.
  double backlogged_weight = 0;
};

uint32_t CallQueue::Impl::NewCall(const QueuedCall& call) {
  uint32_t item = static_cast<uint32_t>(calls.size());
  if (free_calls.empty()) {
    calls.emplace_back();
  } else {
    item = free_calls.back();
    free_calls.pop_back();
  }
  CallSlot& slot = calls[item];
  slot.call = call;
  // All calls age at the same rate, so the relative order of two calls never
  // changes and the keys need no updates.
  slot.order.key =
      options.ageing_tokens_per_ms * static_cast<double>(call.queued_at.count);
  if (options.fair) {
    slot.order.key += static_cast<double>(call.attained_tokens);
  }
  slot.order.tie = next_tie++;
  slot.deadline.key = static_cast<double>(call.deadline.count);
  slot.deadline.tie = slot.order.tie;
  return item;
}

uint32_t CallQueue::Impl::FindOrAddWorkspace(uint64_t hash) {
  if (!options.fair) hash = 0;
  const auto it = hash_to_workspace.find(hash);
  if (it != hash_to_workspace.end()) return it->second;
  if (hash_to_workspace.size() >= options.max_workspaces) {
    EvictIdleWorkspaces();
  }
  uint32_t item = static_cast<uint32_t>(workspaces.size());
  if (free_workspaces.empty()) {
    workspaces.emplace_back();
  } else {
    item = free_workspaces.back();
    free_workspaces.pop_back();
  }
  WorkspaceSlot& workspace = workspaces[item];
  workspace = WorkspaceSlot{};
  workspace.hash = hash;
  workspace.node.key = virtual_time;
  workspace.node.tie = hash;
  hash_to_workspace.emplace(hash, item);
  return item;
}

void CallQueue::Impl::EvictIdleWorkspaces() {
  for (uint32_t item = 0; item < workspaces.size(); ++item) {
    WorkspaceSlot& workspace = workspaces[item];
    if (!workspace.in_use || workspace.calls != kNoItem) continue;
    hash_to_workspace.erase(workspace.hash);
    workspace.in_use = false;
    free_workspaces.push_back(item);
  }
}

void CallQueue::Impl::ChargeRemoteService(WorkspaceSlot& workspace,
                                          const QueuedCall& call) const {
  const bool first = workspace.fleet_tokens_base == 0;
  if (first || call.workspace_tokens < workspace.fleet_tokens_base) {
    workspace.fleet_tokens_base = call.workspace_tokens;
    workspace.served_local_tokens = 0;
    workspace.charged_remote_tokens = 0;
    return;
  }
  const uint64_t since = call.workspace_tokens - workspace.fleet_tokens_base;
  if (since <= workspace.served_local_tokens) return;
  const uint64_t remote = since - workspace.served_local_tokens;
  if (remote <= workspace.charged_remote_tokens) return;
  const auto extra =
      static_cast<double>(remote - workspace.charged_remote_tokens);
  workspace.charged_remote_tokens = remote;
  const double limit =
      std::max(workspace.node.key, virtual_time + options.max_lead_tokens);
  workspace.node.key =
      std::min(workspace.node.key + extra / workspace.weight, limit);
}

void CallQueue::Impl::Charge(uint32_t item, double amount) {
  WorkspaceSlot& workspace = workspaces[item];
  workspace.node.key += amount / workspace.weight;
  if (workspace.node.pos != kNotInHeap) backlogged.Update(item);
}

void CallQueue::Impl::SetWeight(WorkspaceSlot& workspace, double weight) {
  const double positive = PositiveWeight(weight);
  if (workspace.calls != kNoItem) {
    backlogged_weight += positive - workspace.weight;
  }
  workspace.weight = positive;
}

QueuedCall CallQueue::Impl::Take(uint32_t item) {
  const QueuedCall call = calls[item].call;
  const uint32_t workspace_index = calls[item].workspace;
  WorkspaceSlot& workspace = workspaces[workspace_index];
  workspace.calls = order.Erase(workspace.calls, item);
  if (workspace.calls == kNoItem) {
    backlogged.Erase(workspace_index);
    backlogged_weight -= workspace.weight;
    if (backlogged.empty()) backlogged_weight = 0;
  }
  if (calls[item].deadline.pos != kNotInHeap) deadlines.Erase(item);
  ticket_to_call.erase(call.ticket);
  free_calls.push_back(item);
  tokens -= call.cost_tokens;
  workspace.queued_tokens -= call.cost_tokens;
  return call;
}

CallQueue::CallQueue(const CallQueueOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}
CallQueue::~CallQueue() = default;
CallQueue::CallQueue(CallQueue&&) noexcept = default;
CallQueue& CallQueue::operator=(CallQueue&&) noexcept = default;

void CallQueue::Push(const QueuedCall& call) {
  Impl& q = *impl_;
  if (q.ticket_to_call.contains(call.ticket)) return;
  const uint32_t workspace_index = q.FindOrAddWorkspace(call.workspace_hash);
  const uint32_t item = q.NewCall(call);
  q.calls[item].workspace = workspace_index;
  q.ticket_to_call.emplace(call.ticket, item);
  WorkspaceSlot& workspace = q.workspaces[workspace_index];
  q.SetWeight(workspace, call.weight);
  const bool idle = workspace.calls == kNoItem;
  if (idle) {
    workspace.node.key = std::max(workspace.node.key, q.virtual_time);
  }
  q.ChargeRemoteService(workspace, call);
  workspace.calls = q.order.Push(workspace.calls, item);
  if (idle) {
    q.backlogged.Push(workspace_index);
    q.backlogged_weight += workspace.weight;
  } else {
    q.backlogged.Update(workspace_index);
  }
  if (call.deadline > Ms{0}) q.deadlines.Push(item);
  q.tokens += call.cost_tokens;
  workspace.queued_tokens += call.cost_tokens;
}

std::optional<QueuedCall> CallQueue::Pop(Ms /*now*/) {
  Impl& q = *impl_;
  if (q.backlogged.empty()) return std::nullopt;
  const uint32_t workspace_index = q.backlogged.Top();
  WorkspaceSlot& workspace = q.workspaces[workspace_index];
  q.virtual_time = std::max(q.virtual_time, workspace.node.key);
  const QueuedCall call = q.Take(workspace.calls);
  workspace.served_local_tokens += call.cost_tokens;
  q.Charge(workspace_index, static_cast<double>(call.cost_tokens));
  return call;
}

std::optional<QueuedCall> CallQueue::PopExpired(Ms now) {
  Impl& q = *impl_;
  if (q.deadlines.empty()) return std::nullopt;
  const uint32_t item = q.deadlines.Top();
  if (q.calls[item].call.deadline > now) return std::nullopt;
  return q.Take(item);
}

bool CallQueue::Remove(uint64_t ticket) {
  Impl& q = *impl_;
  const auto it = q.ticket_to_call.find(ticket);
  if (it == q.ticket_to_call.end()) return false;
  q.Take(it->second);
  return true;
}

void CallQueue::Settle(uint64_t workspace_hash, double weight,
                       int64_t extra_tokens) {
  Impl& q = *impl_;
  const uint32_t workspace_index = q.FindOrAddWorkspace(workspace_hash);
  WorkspaceSlot& workspace = q.workspaces[workspace_index];
  q.SetWeight(workspace, weight);
  // A refund is limited to the tokens served here.
  const int64_t served = static_cast<int64_t>(workspace.served_local_tokens);
  const int64_t extra = std::max(extra_tokens, -served);
  workspace.served_local_tokens = static_cast<uint64_t>(served + extra);
  q.Charge(workspace_index, static_cast<double>(extra));
}

uint64_t CallQueue::TokensAhead(uint64_t workspace_hash, double weight) const {
  const Impl& q = *impl_;
  if (!q.options.fair) return q.tokens;
  const auto it = q.hash_to_workspace.find(workspace_hash);
  uint64_t own = 0;
  double others = q.backlogged_weight;
  if (it != q.hash_to_workspace.end()) {
    const WorkspaceSlot& workspace = q.workspaces[it->second];
    own = workspace.queued_tokens;
    if (workspace.calls != kNoItem) others -= workspace.weight;
  }
  const double mean = q.ticket_to_call.empty()
                          ? 0
                          : static_cast<double>(q.tokens) /
                                static_cast<double>(q.ticket_to_call.size());
  const double turns = others / PositiveWeight(weight);
  const double ahead =
      static_cast<double>(own) + (static_cast<double>(own) + mean) * turns;
  return std::min(q.tokens, static_cast<uint64_t>(ahead));
}

size_t CallQueue::size() const { return impl_->ticket_to_call.size(); }
uint64_t CallQueue::queued_tokens() const { return impl_->tokens; }

}  // namespace knapweed
