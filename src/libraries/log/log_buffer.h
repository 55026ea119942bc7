/// Buffers log lines for a file descriptor that may be slow, full or never read.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace papayalift {

/// Thread-safe. Never blocks: lines that do not fit are dropped and counted.
class LogBuffer {
 public:
  LogBuffer(int descriptor, std::size_t capacity_bytes)
      : m_descriptor(descriptor), m_capacity_bytes(capacity_bytes) {}

  /// Appends `line`, which has no line terminator.
  void Append(std::string_view line);

  /// Writes as much as the descriptor accepts without blocking.
  void Flush();

  std::size_t size() const;
  /// Number of lines dropped so far.
  std::int64_t dropped() const;

 private:
  const int m_descriptor;
  const std::size_t m_capacity_bytes;
  mutable std::mutex m_mutex;
  std::string m_pending;
  std::int64_t m_dropped = 0;
  std::int64_t m_dropped_reported = 0;
};

}  // namespace papayalift
