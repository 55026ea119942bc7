/// Timers on a clock that only moves when told to.
#pragma once

#include "libraries/base/manual_clock.h"
#include "libraries/loop/timers.h"

namespace papayalift {

class VirtualTimers final : public Timers {
 public:
  const Clock& clock() const override { return m_clock; }
  TimerId After(Milliseconds delay, std::function<void()> callback) override;
  void Cancel(TimerId id) override { m_timers.Cancel(id); }

  /// Runs everything that falls due within `time`, in order.
  void Run(Milliseconds time);

 private:
  ManualClock m_clock;
  TimerQueue m_timers;
};

}  // namespace papayalift
