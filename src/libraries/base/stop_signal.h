/// Requests the threads of one owner to stop, and wakes those that sleep between iterations.
#pragma once

#include <condition_variable>
#include <mutex>

#include "libraries/base/units.h"

namespace papayalift {

class StopSignal {
 public:
  void Raise() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_raised = true;
    m_changed.notify_all();
  }

  bool raised() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_raised;
  }

  /// Sleeps for `limit` or until the signal is raised, whichever comes first.
  void WaitFor(Milliseconds limit) const {
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, limit, [this] { return m_raised; });
  }

 private:
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  bool m_raised = false;
};

}  // namespace papayalift
