#include "libraries/loop/event_loop.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "libraries/base/try.h"

namespace papayalift {

namespace {

constexpr int kMaxEventsPerBatch = 64;
/// Batches of ready descriptors that are handled before the timers run.
constexpr int kMaxBatchesPerIteration = 8;
/// Normal callbacks that run between two looks at what is urgent.
constexpr int kCallbacksPerUrgentCheck = 8;
constexpr Milliseconds kMaxWait{60'000};

}  // namespace

EventLoop::EventLoop(const Clock& clock, const Descriptors& descriptors)
    : m_clock(clock), m_descriptors(descriptors) {}

absl::StatusOr<std::unique_ptr<EventLoop>> EventLoop::Create(const Clock& clock) {
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  const int urgent_epoll = epoll_create1(EPOLL_CLOEXEC);
  std::array<int, 2> ends{-1, -1};
  if (epoll < 0 || urgent_epoll < 0 || pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
    return absl::UnavailableError("no file descriptor left for the event loop");
  }
  std::unique_ptr<EventLoop> loop(
      new EventLoop(clock, Descriptors{epoll, urgent_epoll, ends[0], ends[1]}));
  TRY(loop->Watch(urgent_epoll, Readiness{.readable = true},
                  [urgent = loop.get()](Readiness) { urgent->RunUrgentCallbacks(); }));
  const int wake_read = ends[0];
  TRY(loop->Watch(wake_read, Readiness{.readable = true}, [wake_read](Readiness) {
    std::array<char, 64> bytes{};
    while (read(wake_read, bytes.data(), bytes.size()) > 0) {
    }
  }));
  return loop;
}

EventLoop::~EventLoop() {
  close(m_descriptors.epoll);
  close(m_descriptors.urgent_epoll);
  close(m_descriptors.wake_read);
  close(m_descriptors.wake_write);
}

int EventLoop::EpollOf(Urgency urgency) const {
  return urgency == Urgency::kUrgent ? m_descriptors.urgent_epoll : m_descriptors.epoll;
}

TimerId EventLoop::After(Milliseconds delay, std::function<void()> callback) {
  return m_timers.Add(m_clock.Now() + delay, std::move(callback));
}

TimerId EventLoop::AfterUrgently(Milliseconds delay, std::function<void()> callback) {
  return m_timers.Add(m_clock.Now() + delay, std::move(callback), Urgency::kUrgent);
}

void EventLoop::Cancel(TimerId id) { m_timers.Cancel(id); }

absl::Status EventLoop::Watch(int descriptor, Readiness wanted, FdCallback callback,
                              Urgency urgency) {
  epoll_event event{};
  event.events = (wanted.readable ? EPOLLIN : 0U) | (wanted.writable ? EPOLLOUT : 0U);
  event.data.fd = descriptor;
  const auto watched = m_watched.find(descriptor);
  const bool is_watched = watched != m_watched.end();
  const Urgency effective = is_watched ? watched->second.urgency : urgency;
  const int epoll = EpollOf(effective);
  int result = epoll_ctl(epoll, is_watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
  if (result != 0 && is_watched && errno == ENOENT) {
    // The descriptor was closed and its number reused.
    result = epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
  }
  if (result != 0) {
    return absl::UnavailableError("epoll can't watch the descriptor");
  }
  m_watched[descriptor] =
      WatchedDescriptor{std::make_shared<FdCallback>(std::move(callback)), effective};
  return absl::OkStatus();
}

void EventLoop::Unwatch(int descriptor) {
  const auto watched = m_watched.find(descriptor);
  if (watched != m_watched.end()) {
    epoll_ctl(EpollOf(watched->second.urgency), EPOLL_CTL_DEL, descriptor, nullptr);
    m_watched.erase(watched);
  }
}

void EventLoop::Run() {
  m_stopped = false;
  while (!m_stopped) {
    RunIteration();
  }
}

void EventLoop::RunIteration() {
  bool has_more = RunReadyCallbacks(PollTimeoutMilliseconds());
  // NOTE: timers run after what is ready, since a timeout must not count an answer as missing that
  // has arrived but was not read yet.
  for (int batch = 1; has_more && batch < kMaxBatchesPerIteration; ++batch) {
    has_more = RunReadyCallbacks(0);
  }
  RunDueTimers();
  if (m_after_iteration) {
    m_after_iteration();
  }
}

bool EventLoop::RunReadyCallbacks(int timeout_milliseconds) {
  std::array<epoll_event, kMaxEventsPerBatch> events{};
  const Milliseconds polled_at = m_clock.Now();
  const int count =
      epoll_wait(m_descriptors.epoll, events.data(), kMaxEventsPerBatch, timeout_milliseconds);
  const Milliseconds returned_at = m_clock.Now();
  // After a wait, what is ready has just become so.
  m_ready_since = returned_at > polled_at ? returned_at : m_heard_until;
  for (int index = 0; index < count; ++index) {
    if (count > kCallbacksPerUrgentCheck && index % kCallbacksPerUrgentCheck == 0) {
      RunUrgentCallbacks();
    }
    const epoll_event& event = events.at(static_cast<std::size_t>(index));
    RunCallback(event.data.fd, event.events);
  }
  RecordHandled(polled_at, count);
  return count == kMaxEventsPerBatch;
}

void EventLoop::RecordHandled(Milliseconds polled_at, int count) {
  // NOTE: a wait that a signal has ended tells nothing: the process may have stood still meanwhile.
  if (count < 0) {
    return;
  }
  if (count < kMaxEventsPerBatch) {
    m_heard_until = polled_at;
    m_behind_since.reset();
    return;
  }
  if (!m_behind_since.has_value()) {
    m_behind_since = polled_at;
    m_left_behind = static_cast<std::int64_t>(m_watched.size());
  }
  m_left_behind -= count;
  if (m_left_behind <= 0) {
    m_heard_until = *m_behind_since;
    m_behind_since.reset();
  }
}

Milliseconds EventLoop::HeardUntil(Urgency urgency) const {
  return urgency == Urgency::kUrgent ? std::max(m_heard_until, m_urgent_heard_until)
                                     : m_heard_until;
}

void EventLoop::RunDueTimers() {
  const Milliseconds now = m_clock.Now();
  if (const std::optional<Milliseconds> due = m_timers.next_due()) {
    m_max_timer_delay = std::max(m_max_timer_delay, now - *due);
    m_recent_timer_delay = std::max(now - *due, m_recent_timer_delay * 7 / 8);
  }
  for (int ran = 0; m_timers.RunNextDue(now); ++ran) {
    if (ran % kCallbacksPerUrgentCheck == kCallbacksPerUrgentCheck - 1) {
      RunUrgentCallbacks();
    }
  }
}

void EventLoop::RunUrgentCallbacks() {
  std::array<epoll_event, kMaxEventsPerBatch> events{};
  const Milliseconds polled_at = m_clock.Now();
  const int count = epoll_wait(m_descriptors.urgent_epoll, events.data(), kMaxEventsPerBatch, 0);
  for (int index = 0; index < count; ++index) {
    const epoll_event& event = events.at(static_cast<std::size_t>(index));
    RunCallback(event.data.fd, event.events);
  }
  if (count >= 0 && count < kMaxEventsPerBatch) {
    m_urgent_heard_until = polled_at;
  }
  m_timers.RunDueUrgent(m_clock.Now());
}

void EventLoop::RunCallback(int descriptor, std::uint32_t events) {
  const auto found = m_watched.find(descriptor);
  if (found == m_watched.end()) {
    return;
  }
  // Keeps the callback alive, because it may unwatch its own descriptor.
  const std::shared_ptr<FdCallback> callback = found->second.callback;
  constexpr std::uint32_t kReadable = EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP;
  (*callback)(
      Readiness{.readable = (events & kReadable) != 0, .writable = (events & EPOLLOUT) != 0});
}

int EventLoop::PollTimeoutMilliseconds() const {
  const std::optional<Milliseconds> due = m_timers.next_due();
  const Milliseconds timeout = due.has_value() ? *due - m_clock.Now() : kMaxWait;
  return static_cast<int>(std::clamp(timeout, Milliseconds(0), kMaxWait).count());
}

}  // namespace papayalift
