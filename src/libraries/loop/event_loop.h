/// Event loop of one thread for file descriptors and timers, on epoll.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "absl/status/statusor.h"
#include "libraries/loop/timers.h"

namespace papayalift {

/// Operations that a descriptor is ready for, or is watched for.
struct Readiness {
  bool readable = false;
  bool writable = false;
};

/// Not thread-safe, except for writes to wake_descriptor().
class EventLoop final : public Timers {
 public:
  using FdCallback = std::function<void(Readiness)>;

  /// kUnavailable if no file descriptor is left.
  static absl::StatusOr<std::unique_ptr<EventLoop>> Create(const Clock& clock);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  const Clock& clock() const override { return m_clock; }
  TimerId After(Milliseconds delay, std::function<void()> callback) override;
  TimerId AfterUrgently(Milliseconds delay, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  /// Calls `callback` whenever the descriptor is ready; replaces an earlier watch of the
  /// descriptor. The urgency of a descriptor stays that of its first watch.
  absl::Status Watch(int descriptor, Readiness wanted, FdCallback callback,
                     Urgency urgency = Urgency::kNormal);
  /// Has no effect if the descriptor is not watched.
  void Unwatch(int descriptor);

  /// `callback` runs after every iteration, before the loop waits again.
  void SetAfterIteration(std::function<void()> callback) {
    m_after_iteration = std::move(callback);
  }

  /// Runs until Stop().
  void Run();
  void Stop() { m_stopped = true; }

  /// The longest time after its due time at which a timer ran since the last call.
  Milliseconds TakeMaxTimerDelay() { return std::exchange(m_max_timer_delay, Milliseconds(0)); }

  /// By how much timers have lately run late; falls slowly once they are on time again.
  Milliseconds Lateness() const override { return m_recent_timer_delay; }

  Milliseconds HeardUntil() const override { return HeardUntil(Urgency::kNormal); }
  /// All that descriptors of this urgency were ready for by this time has been handled.
  Milliseconds HeardUntil(Urgency urgency) const;

  /// For how long at most what is being handled has been ready.
  Milliseconds UnheardFor() const { return m_clock.Now() - m_ready_since; }

  /// A signal handler writes one byte to this descriptor to end the wait of the loop.
  int wake_descriptor() const { return m_descriptors.wake_write; }

 private:
  struct Descriptors {
    int epoll = -1;
    /// Watched by `epoll`, so that one wait covers both.
    int urgent_epoll = -1;
    int wake_read = -1;
    int wake_write = -1;
  };
  struct WatchedDescriptor {
    std::shared_ptr<FdCallback> callback;
    Urgency urgency = Urgency::kNormal;
  };

  EventLoop(const Clock& clock, const Descriptors& descriptors);
  int EpollOf(Urgency urgency) const;
  void RunIteration();
  /// Runs the callbacks of some ready descriptors; returns whether more may be ready.
  bool RunReadyCallbacks(int timeout_milliseconds);
  /// Takes note that `count` callbacks have run of those that were ready at `polled_at`.
  void RecordHandled(Milliseconds polled_at, int count);
  void RunDueTimers();
  /// Runs the callbacks of urgent descriptors and then, as an answer that has arrived is not
  /// missing, the urgent timers that are due.
  void RunUrgentCallbacks();
  void RunCallback(int descriptor, std::uint32_t events);
  int PollTimeoutMilliseconds() const;

  const Clock& m_clock;
  const Descriptors m_descriptors;
  bool m_stopped = false;
  Milliseconds m_max_timer_delay{0};
  Milliseconds m_recent_timer_delay{0};
  Milliseconds m_heard_until{0};
  Milliseconds m_urgent_heard_until{0};
  Milliseconds m_ready_since{0};
  /// While more is ready than one batch holds: a time by which all callbacks that were due then
  /// will have run, and how many may be left. The system hands out ready descriptors in turn.
  std::optional<Milliseconds> m_behind_since;
  std::int64_t m_left_behind = 0;
  TimerQueue m_timers;
  std::unordered_map<int, WatchedDescriptor> m_watched;
  std::function<void()> m_after_iteration;
};

}  // namespace papayalift
