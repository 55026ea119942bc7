#include "libraries/http/arrival_watch.h"

#include <sys/socket.h>

namespace papayalift {

namespace {

constexpr Milliseconds kLookInterval{500};

}  // namespace

void ArrivalWatch::Start() {
  m_thread.Start([this] {
    while (!m_stop.raised()) {
      CutLate();
      m_stop.WaitFor(kLookInterval);
    }
  });
}

void ArrivalWatch::Stop() {
  m_stop.Raise();
  m_thread.Join();
}

void ArrivalWatch::Opened(const void* connection, int socket) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_entries[connection] = Entry{socket, std::chrono::steady_clock::now()};
}

void ArrivalWatch::Closed(const void* connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_entries.erase(connection);
}

void ArrivalWatch::Arrived(const void* connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto entry = m_entries.find(connection);
  if (entry != m_entries.end()) {
    entry->second.waits_since = Time::max();
  }
}

void ArrivalWatch::Answered(const void* connection) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto entry = m_entries.find(connection);
  if (entry != m_entries.end()) {
    entry->second.waits_since = std::chrono::steady_clock::now();
  }
}

void ArrivalWatch::CutLate() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Time now = std::chrono::steady_clock::now();
  for (const auto& [connection, entry] : m_entries) {
    if (entry.waits_since != Time::max() && now - entry.waits_since > m_limit) {
      // Only reading ends here: the server sees the end of the request and closes by itself.
      shutdown(entry.socket, SHUT_RD);
    }
  }
}

}  // namespace papayalift
