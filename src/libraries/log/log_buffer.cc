#include "libraries/log/log_buffer.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace papayalift {

void LogBuffer::Append(std::string_view line) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_pending.size() + line.size() + 1 > m_capacity_bytes) {
    ++m_dropped;
    return;
  }
  if (m_dropped > m_dropped_reported) {
    m_pending += fmt::format(
        R"({{"level":"warning","component":"log","message":"lines dropped","lines":{}}})"
        "\n",
        m_dropped - m_dropped_reported);
    m_dropped_reported = m_dropped;
  }
  m_pending += line;
  m_pending += '\n';
}

void LogBuffer::Flush() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::size_t written = 0;
  while (written < m_pending.size()) {
    pollfd ready{m_descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    // NOTE: a pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
    const std::size_t chunk_bytes = std::min<std::size_t>(PIPE_BUF, m_pending.size() - written);
    const ssize_t written_bytes = write(m_descriptor, m_pending.data() + written, chunk_bytes);
    if (written_bytes <= 0) {
      break;
    }
    written += static_cast<std::size_t>(written_bytes);
  }
  m_pending.erase(0, written);
}

std::size_t LogBuffer::size() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_pending.size();
}

std::int64_t LogBuffer::dropped() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_dropped;
}

}  // namespace papayalift
