#ifndef KNAPWEED_POLICY_INDEXED_HEAP_H_
#define KNAPWEED_POLICY_INDEXED_HEAP_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace knapweed {

inline constexpr uint32_t kNotInHeap = UINT32_MAX;

/// Key and position of an item. The owner of the items keeps one node per heap
/// that an item can be in.
struct HeapNode {
  double key = 0;
  uint64_t tie = 0;
  uint32_t pos = kNotInHeap;
};

/// A binary min-heap of item indices. The key of an item can change, and any
/// item can be erased. `node_of(item)` returns the HeapNode& of an item.
template <typename NodeOf>
class IndexedHeap {
 public:
  explicit IndexedHeap(NodeOf node_of) : node_of_(node_of) {}

  void reserve(size_t n) { items_.reserve(n); }
  bool empty() const { return items_.empty(); }
  size_t size() const { return items_.size(); }
  uint32_t Top() const { return items_.front(); }

  void Push(uint32_t item) {
    items_.push_back(item);
    SiftUp(static_cast<uint32_t>(items_.size() - 1));
  }

  void Erase(uint32_t item) {
    const uint32_t pos = node_of_(item).pos;
    node_of_(item).pos = kNotInHeap;
    const uint32_t last = items_.back();
    items_.pop_back();
    if (last == item) return;
    items_[pos] = last;
    SiftDown(SiftUp(pos));
  }

  /// Restores the heap order after the key of `item` has changed.
  void Update(uint32_t item) { SiftDown(SiftUp(node_of_(item).pos)); }

 private:
  bool Before(uint32_t a, uint32_t b) const {
    const HeapNode& x = node_of_(a);
    const HeapNode& y = node_of_(b);
    if (x.key != y.key) return x.key < y.key;
    return x.tie < y.tie;
  }

  uint32_t SiftUp(uint32_t pos) {
    const uint32_t item = items_[pos];
    while (pos > 0) {
      const uint32_t parent = (pos - 1) / 2;
      if (!Before(item, items_[parent])) break;
      Set(pos, items_[parent]);
      pos = parent;
    }
    Set(pos, item);
    return pos;
  }

  void SiftDown(uint32_t pos) {
    const uint32_t item = items_[pos];
    const auto n = static_cast<uint32_t>(items_.size());
    for (uint32_t child = 2 * pos + 1; child < n; child = 2 * pos + 1) {
      if (child + 1 < n && Before(items_[child + 1], items_[child])) ++child;
      if (!Before(items_[child], item)) break;
      Set(pos, items_[child]);
      pos = child;
    }
    Set(pos, item);
  }

  void Set(uint32_t pos, uint32_t item) {
    items_[pos] = item;
    node_of_(item).pos = pos;
  }

  NodeOf node_of_;
  std::vector<uint32_t> items_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_INDEXED_HEAP_H_
