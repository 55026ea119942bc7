#include "leader/process_timers.h"

#include <algorithm>

namespace papayalift {

TimerId ProcessTimers::After(Milliseconds delay, std::function<void()> callback) {
  return Add(delay, std::move(callback), Urgency::kNormal);
}

TimerId ProcessTimers::AfterUrgently(Milliseconds delay, std::function<void()> callback) {
  return Add(delay, std::move(callback), Urgency::kUrgent);
}

TimerId ProcessTimers::Add(Milliseconds delay, std::function<void()> callback, Urgency urgency) {
  const std::shared_ptr<TimerId> id = std::make_shared<TimerId>();
  *id = m_timers.After(delay, [this, id, urgency, callback = std::move(callback)] {
    if (m_is_frozen) {
      m_overdue.push_back(Overdue{*id, callback});
    } else {
      Run(urgency, Waiting{*id, callback, clock().Now()});
    }
  });
  return *id;
}

void ProcessTimers::Cancel(TimerId id) {
  m_timers.Cancel(id);
  std::erase_if(m_overdue, [id](const Overdue& overdue) { return overdue.id == id; });
  const auto is_cancelled = [id](const Waiting& waiting) { return id != 0 && waiting.id == id; };
  std::erase_if(m_urgent, is_cancelled);
  std::erase_if(m_normal, is_cancelled);
}

void ProcessTimers::Run(Urgency urgency, Waiting waiting) {
  if (m_callback_time.count() == 0 && !m_is_busy) {
    waiting.callback();
    return;
  }
  (urgency == Urgency::kUrgent ? m_urgent : m_normal).push_back(std::move(waiting));
  if (!m_is_busy) {
    RunNext();
  }
}

void ProcessTimers::RunNext() {
  std::deque<Waiting>& line = m_urgent.empty() ? m_normal : m_urgent;
  if (line.empty()) {
    return;
  }
  const Waiting next = std::move(line.front());
  line.pop_front();
  m_is_busy = true;
  if (&line == &m_normal) {
    m_lateness = std::max(clock().Now() - next.due, m_lateness * 7 / 8);
  }
  next.callback();
  m_timers.After(m_callback_time, [this] {
    m_is_busy = false;
    RunNext();
  });
}

Milliseconds ProcessTimers::Lateness() const { return m_lateness; }

Milliseconds ProcessTimers::HeardUntil() const {
  return m_normal.empty() ? clock().Now() : m_normal.front().due - Milliseconds(1);
}

void ProcessTimers::Thaw() {
  m_is_frozen = false;
  // Each may cancel others that are overdue too.
  while (!m_overdue.empty() && !m_is_frozen) {
    const std::function<void()> callback = std::move(m_overdue.front().callback);
    m_overdue.erase(m_overdue.begin());
    callback();
  }
}

}  // namespace papayalift
