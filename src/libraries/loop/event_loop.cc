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

constexpr int kMaxEventsPerIteration = 64;
constexpr Milliseconds kMaxWait{60'000};

}  // namespace

EventLoop::EventLoop(const Clock& clock, int epoll, int wake_read, int wake_write)
    : m_clock(clock), m_epoll(epoll), m_wake_read(wake_read), m_wake_write(wake_write) {}

absl::StatusOr<std::unique_ptr<EventLoop>> EventLoop::Create(const Clock& clock) {
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  std::array<int, 2> ends{-1, -1};
  if (epoll < 0 || pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
    return absl::UnavailableError("no file descriptor left for the event loop");
  }
  std::unique_ptr<EventLoop> loop(new EventLoop(clock, epoll, ends[0], ends[1]));
  const int wake_read = ends[0];
  TRY(loop->Watch(wake_read, Readiness{.readable = true}, [wake_read](Readiness) {
    std::array<char, 64> bytes{};
    while (read(wake_read, bytes.data(), bytes.size()) > 0) {
    }
  }));
  return loop;
}

EventLoop::~EventLoop() {
  close(m_epoll);
  close(m_wake_read);
  close(m_wake_write);
}

TimerId EventLoop::After(Milliseconds delay, std::function<void()> callback) {
  return m_timers.Add(m_clock.Now() + delay, std::move(callback));
}

void EventLoop::Cancel(TimerId id) { m_timers.Cancel(id); }

absl::Status EventLoop::Watch(int descriptor, Readiness wanted, FdCallback callback) {
  epoll_event event{};
  event.events = (wanted.readable ? EPOLLIN : 0U) | (wanted.writable ? EPOLLOUT : 0U);
  event.data.fd = descriptor;
  const bool is_watched = m_watched.contains(descriptor);
  int result = epoll_ctl(m_epoll, is_watched ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
  if (result != 0 && is_watched && errno == ENOENT) {
    // The descriptor was closed and its number reused.
    result = epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
  }
  if (result != 0) {
    return absl::UnavailableError("epoll can't watch the descriptor");
  }
  m_watched[descriptor] = std::make_shared<FdCallback>(std::move(callback));
  return absl::OkStatus();
}

void EventLoop::Unwatch(int descriptor) {
  if (m_watched.erase(descriptor) > 0) {
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
  }
}

void EventLoop::Run() {
  m_stopped = false;
  while (!m_stopped) {
    RunIteration();
  }
}

void EventLoop::RunIteration() {
  std::array<epoll_event, kMaxEventsPerIteration> events{};
  const int count =
      epoll_wait(m_epoll, events.data(), kMaxEventsPerIteration, PollTimeoutMilliseconds());
  for (int index = 0; index < count; ++index) {
    const epoll_event& event = events.at(static_cast<std::size_t>(index));
    const auto found = m_watched.find(event.data.fd);
    if (found == m_watched.end()) {
      continue;
    }
    // Keeps the callback alive, because it may unwatch its own descriptor.
    const std::shared_ptr<FdCallback> callback = found->second;
    constexpr std::uint32_t kReadable = EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP;
    (*callback)(Readiness{.readable = (event.events & kReadable) != 0,
                          .writable = (event.events & EPOLLOUT) != 0});
  }
  m_timers.RunDue(m_clock.Now());
  if (m_after_iteration) {
    m_after_iteration();
  }
}

int EventLoop::PollTimeoutMilliseconds() const {
  const std::optional<Milliseconds> due = m_timers.next_due();
  const Milliseconds timeout = due.has_value() ? *due - m_clock.Now() : kMaxWait;
  return static_cast<int>(std::clamp(timeout, Milliseconds(0), kMaxWait).count());
}

}  // namespace papayalift
