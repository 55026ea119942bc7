#include "libraries/http/request_timeout_monitor.h"

#include <sys/socket.h>

#include <utility>

namespace papayalift {

namespace {

constexpr Milliseconds kCheckInterval{500};

}  // namespace

void RequestTimeoutMonitor::Start(std::function<void()> each_check) {
  m_thread.Start([this, each_check = std::move(each_check)] {
    while (!m_stop.raised()) {
      AbortLateRequests();
      each_check();
      m_stop.WaitFor(kCheckInterval);
    }
  });
}

void RequestTimeoutMonitor::Stop() {
  m_stop.Raise();
  m_thread.Join();
}

void RequestTimeoutMonitor::OnConnectionOpened(const void* connection, int socket) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_entries[connection] = Entry{socket, std::chrono::steady_clock::now()};
}

void RequestTimeoutMonitor::OnConnectionClosed(const void* connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_entries.erase(connection);
}

std::size_t RequestTimeoutMonitor::connections() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_entries.size();
}

void RequestTimeoutMonitor::OnRequestReceived(const void* connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto entry = m_entries.find(connection);
  if (entry != m_entries.end()) {
    entry->second.waiting_since = Time::max();
  }
}

void RequestTimeoutMonitor::OnResponseSent(const void* connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto entry = m_entries.find(connection);
  if (entry != m_entries.end()) {
    entry->second.waiting_since = std::chrono::steady_clock::now();
  }
}

void RequestTimeoutMonitor::AbortLateRequests() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Time now = std::chrono::steady_clock::now();
  for (const auto& [connection, entry] : m_entries) {
    if (entry.waiting_since != Time::max() && now - entry.waiting_since > m_timeout) {
      // Shuts down reading only: the server sees the end of the input and closes the connection.
      shutdown(entry.socket, SHUT_RD);
    }
  }
}

}  // namespace papayalift
