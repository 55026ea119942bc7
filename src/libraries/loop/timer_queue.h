/// Callbacks that wait for their time, for one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "libraries/base/units.h"

namespace papayalift {

/// Names a timer that was set; 0 names none.
using TimerId = std::uint64_t;

class TimerQueue {
 public:
  TimerId Add(Milliseconds due, std::function<void()> callback);

  /// Does nothing where the timer has run or was cancelled before.
  void Cancel(TimerId id);

  /// When the next timer is due; empty where none waits.
  std::optional<Milliseconds> next_due() const;

  /// Runs what is due at `now`, in order of time; returns how many ran.
  int RunDue(Milliseconds now);

 private:
  struct Key {
    Milliseconds due;
    TimerId id;
    auto operator<=>(const Key&) const = default;
  };

  TimerId m_last_id = 0;
  std::map<Key, std::function<void()>> m_timers;
  std::map<TimerId, Milliseconds> m_due_times;
};

}  // namespace papayalift
