/// Interface to the clock and timers of an event loop; tests replace it by virtual time.
#pragma once

#include <functional>

#include "libraries/base/clock.h"
#include "libraries/loop/timer_queue.h"

namespace papayalift {

class Timers {
 public:
  virtual ~Timers() = default;

  virtual const Clock& clock() const = 0;

  /// Runs `callback` on the loop's thread once `delay` has passed.
  virtual TimerId After(Milliseconds delay, std::function<void()> callback) = 0;
  /// Like After(), but what is ready or due by then doesn't delay it, except for other urgent work
  /// and for the callback that is running.
  virtual TimerId AfterUrgently(Milliseconds delay, std::function<void()> callback) = 0;
  virtual void Cancel(TimerId id) = 0;

  /// By how much this process has lately been behind with its work.
  virtual Milliseconds Lateness() const { return Milliseconds(0); }
  /// All that had arrived by this time has been handled. What arrived later may lie unread, so its
  /// absence proves nothing about its sender.
  virtual Milliseconds HeardUntil() const { return clock().Now(); }
};

}  // namespace papayalift
