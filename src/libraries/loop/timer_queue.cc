#include "libraries/loop/timer_queue.h"

#include <algorithm>

namespace papayalift {

TimerId TimerQueue::Add(Milliseconds due, std::function<void()> callback, Urgency urgency) {
  const TimerId id = ++m_last_id;
  KeyedTimers& timers = urgency == Urgency::kUrgent ? m_urgent : m_normal;
  timers.emplace(Key{due, id}, std::move(callback));
  m_due_times.emplace(id, due);
  return id;
}

void TimerQueue::Cancel(TimerId id) {
  const auto found = m_due_times.find(id);
  if (found == m_due_times.end()) {
    return;
  }
  const Key key{found->second, id};
  if (m_normal.erase(key) == 0) {
    m_urgent.erase(key);
  }
  m_due_times.erase(found);
}

std::optional<Milliseconds> TimerQueue::next_due() const {
  if (m_normal.empty() && m_urgent.empty()) {
    return std::nullopt;
  }
  if (m_normal.empty() || m_urgent.empty()) {
    return (m_normal.empty() ? m_urgent : m_normal).begin()->first.due;
  }
  return std::min(m_normal.begin()->first.due, m_urgent.begin()->first.due);
}

int TimerQueue::RunDue(Milliseconds now) {
  int count = 0;
  while (RunNextDue(now)) {
    ++count;
  }
  return count;
}

int TimerQueue::RunDueUrgent(Milliseconds now) {
  int count = 0;
  while (IsDue(m_urgent, now)) {
    RunFirst(m_urgent);
    ++count;
  }
  return count;
}

bool TimerQueue::RunNextDue(Milliseconds now) {
  const bool is_normal_due = IsDue(m_normal, now);
  const bool is_urgent_due = IsDue(m_urgent, now);
  if (!is_normal_due && !is_urgent_due) {
    return false;
  }
  const bool is_urgent_first =
      is_urgent_due && (!is_normal_due || m_urgent.begin()->first < m_normal.begin()->first);
  RunFirst(is_urgent_first ? m_urgent : m_normal);
  return true;
}

bool TimerQueue::IsDue(const KeyedTimers& timers, Milliseconds now) {
  return !timers.empty() && timers.begin()->first.due <= now;
}

void TimerQueue::RunFirst(KeyedTimers& timers) {
  const auto first = timers.begin();
  const std::function<void()> callback = std::move(first->second);
  m_due_times.erase(first->first.id);
  timers.erase(first);
  callback();
}

}  // namespace papayalift
