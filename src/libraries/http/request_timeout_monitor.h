/// Aborts connections whose request takes too long to arrive, even if it keeps making progress.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <mutex>

#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/base/units.h"

namespace papayalift {

/// Thread-safe. A connection is identified by any pointer that is unique while it is open.
class RequestTimeoutMonitor {
 public:
  explicit RequestTimeoutMonitor(Milliseconds timeout) : m_timeout(timeout) {}
  ~RequestTimeoutMonitor() { Stop(); }
  RequestTimeoutMonitor(const RequestTimeoutMonitor&) = delete;
  RequestTimeoutMonitor& operator=(const RequestTimeoutMonitor&) = delete;

  /// Aborts late requests on a thread, which also calls `each_check`.
  void Start(std::function<void()> each_check);
  void Stop();

  void OnConnectionOpened(const void* connection, int socket);
  /// Must be called before the socket is closed.
  void OnConnectionClosed(const void* connection);
  /// The request has arrived completely; its timeout ends.
  void OnRequestReceived(const void* connection);
  /// The response has been sent; the timeout of the next request begins.
  void OnResponseSent(const void* connection);

  std::size_t connections() const;

  /// Aborts the requests that are late now; for users without the thread.
  void AbortLateRequests();

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Entry {
    int socket = -1;
    /// Start of the wait for a request; Time::max() while a request is being handled.
    Time waiting_since;
  };

  const Milliseconds m_timeout;
  mutable std::mutex m_mutex;
  std::map<const void*, Entry> m_entries;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
