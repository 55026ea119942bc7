/// Event loop of one thread for file descriptors and timers, on epoll.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

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
  void Cancel(TimerId id) override;

  /// Calls `callback` whenever the descriptor is ready; replaces an earlier watch of the
  /// descriptor.
  absl::Status Watch(int descriptor, Readiness wanted, FdCallback callback);
  /// Has no effect if the descriptor is not watched.
  void Unwatch(int descriptor);

  /// `callback` runs after every iteration, before the loop waits again.
  void SetAfterIteration(std::function<void()> callback) {
    m_after_iteration = std::move(callback);
  }

  /// Runs until Stop().
  void Run();
  void Stop() { m_stopped = true; }

  /// A signal handler writes one byte to this descriptor to end the wait of the loop.
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
