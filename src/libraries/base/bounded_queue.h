/// A thread-safe FIFO queue of fixed capacity.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "libraries/base/units.h"

namespace papayalift {

enum class PushResult { kAccepted, kFull, kClosed };

template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : m_capacity(capacity) {}

  /// Never blocks. A full queue returns kFull, which the caller has to report to its client.
  PushResult TryPush(T item) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_closed) {
      return PushResult::kClosed;
    }
    if (m_items.size() >= m_capacity) {
      return PushResult::kFull;
    }
    m_items.push_back(std::move(item));
    m_filled.notify_one();
    return PushResult::kAccepted;
  }

  /// Waits up to `limit` for an item. Returns nothing on a timeout, or once the queue is closed and
  /// empty.
  std::optional<T> Pop(Milliseconds limit) {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_filled.wait_for(lock, limit, [this] { return m_closed || !m_items.empty(); });
    if (m_items.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(m_items.front()));
    m_items.pop_front();
    return item;
  }

  void Close() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    m_filled.notify_all();
  }

  bool closed() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_closed;
  }

  std::size_t size() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_items.size();
  }

 private:
  const std::size_t m_capacity;
  mutable std::mutex m_mutex;
  std::condition_variable m_filled;
  std::deque<T> m_items;
  bool m_closed = false;
};

}  // namespace papayalift
