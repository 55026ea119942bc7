/// One thread's sockets and timers, on epoll.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "libraries/loop/timers.h"

namespace papayalift {

/// What a watched descriptor is ready for, and what is waited for.
struct Readiness {
  bool readable = false;
  bool writable = false;
};

/// Not thread-safe, but for Wake().
class EventLoop final : public Timers {
 public:
  using FdCallback = std::function<void(Readiness)>;

  /// kUnavailable where the system has no descriptor left.
  static absl::StatusOr<std::unique_ptr<EventLoop>> Create(const Clock& clock);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  const Clock& clock() const override { return m_clock; }
  TimerId After(Milliseconds delay, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  /// Calls `callback` whenever the descriptor is ready; replaces what was watched for on it before.
  absl::Status Watch(int descriptor, Readiness wanted, FdCallback callback);
  /// Harmless where the descriptor is not watched.
  void Unwatch(int descriptor);

  /// Called after every round of events, before the loop waits again.
  void SetAfterIteration(std::function<void()> callback) {
    m_after_iteration = std::move(callback);
  }

  /// Runs until Stop().
  void Run();
  void Stop() { m_stopped = true; }

  /// Descriptor to which a signal handler writes one byte to end a wait.
  int wake_descriptor() const { return m_wake_write; }

 private:
  EventLoop(const Clock& clock, int epoll, int wake_read, int wake_write);
  void RunIteration();
  int PollTimeoutMilliseconds() const;

  const Clock& m_clock;
  const int m_epoll;
  const int m_wake_read;
  const int m_wake_write;
  bool m_stopped = false;
  TimerQueue m_timers;
  std::unordered_map<int, std::shared_ptr<FdCallback>> m_watched;
  std::function<void()> m_after_iteration;
};

}  // namespace papayalift
