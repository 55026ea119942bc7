/// Cuts off connections whose request takes too long to arrive, however steadily it drips.
#pragma once

#include <chrono>
#include <map>
#include <mutex>

#include "libraries/base/duty_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/base/units.h"

namespace papayalift {

/// Thread-safe. A connection is named by any pointer that is its own while it is open.
class RequestTimeoutMonitor {
 public:
  explicit RequestTimeoutMonitor(Milliseconds timeout) : m_timeout(timeout) {}
  ~RequestTimeoutMonitor() { Stop(); }
  RequestTimeoutMonitor(const RequestTimeoutMonitor&) = delete;
  RequestTimeoutMonitor& operator=(const RequestTimeoutMonitor&) = delete;

  void Start();
  void Stop();

  void OnConnectionOpened(const void* connection, int socket);
  /// Before its socket is closed.
  void OnConnectionClosed(const void* connection);
  /// Its request is here whole and is being answered.
  void OnRequestReceived(const void* connection);
  /// Its answer has left, and its next request may come.
  void OnResponseSent(const void* connection);

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Entry {
    int socket = -1;
    /// Since when it has been waiting for a request; the largest value while one is answered.
    Time waiting_since;
  };

  void AbortLateRequests();

  const Milliseconds m_timeout;
  std::mutex m_mutex;
  std::map<const void*, Entry> m_entries;
  StopSignal m_stop;
  DutyThread m_thread;
};

}  // namespace papayalift
