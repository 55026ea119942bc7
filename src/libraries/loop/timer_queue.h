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

enum class Urgency {
  kNormal,
  /// The callback runs ahead of normal ones that are ready, however many there are.
  kUrgent,
};

class TimerQueue {
 public:
  TimerId Add(Milliseconds due, std::function<void()> callback, Urgency urgency = Urgency::kNormal);

  /// Has no effect if the timer has run or was cancelled before.
  void Cancel(TimerId id);

  /// Due time of the next timer; empty if there is none.
  std::optional<Milliseconds> next_due() const;

  /// Runs the timers that are due at `now`, in order of due time; returns their number.
  int RunDue(Milliseconds now);

  /// Runs the urgent ones of the timers that are due at `now`.
  int RunDueUrgent(Milliseconds now);

  /// Runs the first of the timers that are due at `now`; returns whether there was one.
  bool RunNextDue(Milliseconds now);

 private:
  struct Key {
    Milliseconds due;
    TimerId id;
    auto operator<=>(const Key&) const = default;
  };

  using KeyedTimers = std::map<Key, std::function<void()>>;

  static bool IsDue(const KeyedTimers& timers, Milliseconds now);
  void RunFirst(KeyedTimers& timers);

  TimerId m_last_id = 0;
  KeyedTimers m_normal;
  KeyedTimers m_urgent;
  std::map<TimerId, Milliseconds> m_due_times;
};

}  // namespace papayalift
