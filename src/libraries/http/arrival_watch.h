/// Cuts off connections whose request takes too long to arrive, however steadily it drips.
#pragma once

#include <chrono>
#include <map>
#include <mutex>

#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/base/units.h"

namespace papayalift {

/// Thread-safe. A connection is named by any pointer that is its own while it is open.
class ArrivalWatch {
 public:
  explicit ArrivalWatch(Milliseconds limit) : m_limit(limit) {}
  ~ArrivalWatch() { Stop(); }
  ArrivalWatch(const ArrivalWatch&) = delete;
  ArrivalWatch& operator=(const ArrivalWatch&) = delete;

  void Start();
  void Stop();

  void Opened(const void* connection, int socket);
  /// Before its socket is closed.
  void Closed(const void* connection);
  /// Its request is here whole and is being answered.
  void Arrived(const void* connection);
  /// Its answer has left, and its next request may come.
  void Answered(const void* connection);

 private:
  using Time = std::chrono::steady_clock::time_point;
  struct Entry {
    int socket = -1;
    /// Since when it has been waiting for a request; the largest value while one is answered.
    Time waits_since;
  };

  void CutLate();

  const Milliseconds m_limit;
  std::mutex m_mutex;
  std::map<const void*, Entry> m_entries;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
