#include "libraries/loop/timer_queue.h"

namespace papayalift {

TimerId TimerQueue::Add(Milliseconds due, std::function<void()> callback) {
  const TimerId id = ++m_last_id;
  m_timers.emplace(Key{due, id}, std::move(callback));
  m_due_times.emplace(id, due);
  return id;
}

void TimerQueue::Cancel(TimerId id) {
  const auto found = m_due_times.find(id);
  if (found == m_due_times.end()) {
    return;
  }
  m_timers.erase(Key{found->second, id});
  m_due_times.erase(found);
}

std::optional<Milliseconds> TimerQueue::next_due() const {
  if (m_timers.empty()) {
    return std::nullopt;
  }
  return m_timers.begin()->first.due;
}

int TimerQueue::RunDue(Milliseconds now) {
  int count = 0;
  while (!m_timers.empty() && m_timers.begin()->first.due <= now) {
    const auto first = m_timers.begin();
    const std::function<void()> callback = std::move(first->second);
    m_due_times.erase(first->first.id);
    m_timers.erase(first);
    callback();
    ++count;
  }
  return count;
}

}  // namespace papayalift
