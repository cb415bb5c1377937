#ifndef KNAPWEED_POLICY_LEFTIST_HEAP_H_
#define KNAPWEED_POLICY_LEFTIST_HEAP_H_

#include <cstdint>
#include <utility>

namespace knapweed {

inline constexpr uint32_t kNoItem = UINT32_MAX;

/// Links of an item in a leftist heap. Every right spine has at most log2(n)
/// nodes.
struct LeftistNode {
  double key = 0;
  uint64_t tie = 0;
  uint32_t left = kNoItem;
  uint32_t right = kNoItem;
  uint32_t parent = kNoItem;
  uint32_t rank = 1;
};

/// Operations on min-heaps whose nodes are stored in the items, so that
/// thousands of small heaps need no allocation of their own. A heap is
/// identified by the index of its root item, kNoItem when empty.
/// `node_of(item)` returns the LeftistNode& of an item.
template <typename NodeOf>
class LeftistHeaps {
 public:
  explicit LeftistHeaps(NodeOf node_of) : node_of_(node_of) {}

  /// Merges two heaps and returns the new root.
  uint32_t Merge(uint32_t a, uint32_t b) {
    if (a == kNoItem) return b;
    if (b == kNoItem) return a;
    if (Before(b, a)) std::swap(a, b);
    const uint32_t right = Merge(node_of_(a).right, b);
    node_of_(a).right = right;
    node_of_(right).parent = a;
    Balance(a);
    return a;
  }

  /// Adds an item and returns the new root.
  uint32_t Push(uint32_t root, uint32_t item) {
    LeftistNode& node = node_of_(item);
    node.left = node.right = node.parent = kNoItem;
    node.rank = 1;
    return Merge(root, item);
  }

  /// Removes an item and returns the new root.
  uint32_t Erase(uint32_t root, uint32_t item) {
    const LeftistNode node = node_of_(item);
    const uint32_t merged = Merge(node.left, node.right);
    if (merged != kNoItem) node_of_(merged).parent = node.parent;
    if (item == root) return merged;
    LeftistNode& parent = node_of_(node.parent);
    (parent.left == item ? parent.left : parent.right) = merged;
    // Ranks can change along at most log2(n) ancestors.
    for (uint32_t it = node.parent; it != kNoItem; it = node_of_(it).parent) {
      if (!Balance(it)) break;
    }
    return root;
  }

 private:
  bool Before(uint32_t a, uint32_t b) const {
    const LeftistNode& x = node_of_(a);
    const LeftistNode& y = node_of_(b);
    if (x.key != y.key) return x.key < y.key;
    return x.tie < y.tie;
  }

  uint32_t RankOf(uint32_t item) const {
    return item == kNoItem ? 0 : node_of_(item).rank;
  }

  /// Makes the child of higher rank the left one and updates the rank. Returns
  /// false when the rank has not changed.
  bool Balance(uint32_t item) {
    LeftistNode& node = node_of_(item);
    if (RankOf(node.left) < RankOf(node.right)) {
      std::swap(node.left, node.right);
    }
    const uint32_t rank = RankOf(node.right) + 1;
    const bool changed = rank != node.rank;
    node.rank = rank;
    return changed;
  }

  NodeOf node_of_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_LEFTIST_HEAP_H_
