/// One process's view of the virtual clock. The process can stand still while others go on, or be
/// slow, so that what it has to do waits in line.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "libraries/loop/timers.h"

namespace papayalift {

class ProcessTimers final : public Timers {
 public:
  explicit ProcessTimers(Timers& timers) : m_timers(timers) {}

  const Clock& clock() const override { return m_timers.clock(); }
  TimerId After(Milliseconds delay, std::function<void()> callback) override;
  TimerId AfterUrgently(Milliseconds delay, std::function<void()> callback) override;
  void Cancel(TimerId id) override;
  Milliseconds Lateness() const override;
  Milliseconds HeardUntil() const override;

  /// What falls due while the process is frozen runs once it is thawed, in order.
  void Freeze() { m_is_frozen = true; }
  void Thaw();

  /// From now on each callback occupies the process for that long. Others wait in order meanwhile,
  /// urgent ones ahead of the rest. Nothing takes time where this is 0.
  void SetCallbackTime(Milliseconds time) { m_callback_time = time; }
  /// Runs a callback that has become due: at once, or when its turn comes.
  void RunInTurn(Urgency urgency, std::function<void()> callback) {
    Run(urgency, Waiting{0, std::move(callback), clock().Now()});
  }

 private:
  struct Overdue {
    TimerId id = 0;
    std::function<void()> callback;
  };
  struct Waiting {
    TimerId id = 0;
    std::function<void()> callback;
    Milliseconds due{0};
  };

  TimerId Add(Milliseconds delay, std::function<void()> callback, Urgency urgency);
  void Run(Urgency urgency, Waiting waiting);
  void RunNext();

  Timers& m_timers;
  bool m_is_frozen = false;
  std::vector<Overdue> m_overdue;
  Milliseconds m_callback_time{0};
  bool m_is_busy = false;
  std::deque<Waiting> m_urgent;
  std::deque<Waiting> m_normal;
  Milliseconds m_lateness{0};
};

}  // namespace papayalift
