/// Timers of one thread, ordered by due time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "libraries/base/units.h"

namespace papayalift {

/// Identifies a timer; 0 means none.
using TimerId = std::uint64_t;

class TimerQueue {
 public:
  TimerId Add(Milliseconds due, std::function<void()> callback);

  /// Has no effect if the timer has run or was cancelled before.
  void Cancel(TimerId id);

  /// Due time of the next timer; empty if there is none.
  std::optional<Milliseconds> next_due() const;

  /// Runs the timers that are due at `now`, in order of due time; returns their number.
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
