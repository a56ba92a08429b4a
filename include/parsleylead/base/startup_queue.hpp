#pragma once

#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

#include "parsleylead/base/time.hpp"

namespace parsleylead {

/// Holds what arrives before a starting process can handle it, until the process is ready or a time
/// limit after its start has passed. Not thread-safe.
template <class Item>
class startup_queue {
public:
  /// Nothing is held after `deadline`, and at most `max_items` at a time.
  startup_queue(monotonic_time deadline, std::size_t max_items)
      : deadline_(deadline), max_items_(max_items) {}

  /// Returns whether the item was kept. If not, the caller has to refuse it.
  bool hold(const Item& item, monotonic_time now) {
    if (now >= deadline_ || items_.size() >= max_items_) {
      return false;
    }
    items_.push_back(item);
    return true;
  }

  /// Returns the held items, oldest first, to be handled.
  std::vector<Item> release() { return std::exchange(items_, {}); }

  /// Returns the held items, to be refused, once the deadline has passed.
  std::vector<Item> take_expired(monotonic_time now) {
    return now >= deadline_ ? release() : std::vector<Item>{};
  }

private:
  monotonic_time deadline_;
  std::size_t max_items_;
  std::vector<Item> items_;
};

} // namespace parsleylead
