/// Timers on a virtual clock that only advances in Run().
#pragma once

#include <optional>
#include <utility>

#include "libraries/base/manual_clock.h"
#include "libraries/loop/timers.h"

namespace papayalift {

class VirtualTimers final : public Timers {
 public:
  const Clock& clock() const override { return m_clock; }
  TimerId After(Milliseconds delay, std::function<void()> callback) override;
  /// Nothing takes time here, so no other work delays a timer.
  TimerId AfterUrgently(Milliseconds delay, std::function<void()> callback) override {
    return After(delay, std::move(callback));
  }
  void Cancel(TimerId id) override { m_timers.Cancel(id); }
  Milliseconds HeardUntil() const override { return m_heard_until.value_or(m_clock.Now()); }

  /// What has arrived since then lies unread; nullopt: nothing does.
  void SetHeardUntil(std::optional<Milliseconds> until) { m_heard_until = until; }

  /// Advances the clock by `time` and runs all timers that fall due, in order.
  void Run(Milliseconds time);

  /// Lets the process stand still: the clock advances, and what falls due runs later.
  void Pause(Milliseconds time) { m_clock.Advance(time); }

 private:
  ManualClock m_clock;
  std::optional<Milliseconds> m_heard_until;
  TimerQueue m_timers;
};

}  // namespace papayalift
