#include "leader/virtual_timers.h"

#include <algorithm>

namespace papayalift {

TimerId VirtualTimers::After(Milliseconds delay, std::function<void()> callback) {
  return m_timers.Add(m_clock.Now() + delay, std::move(callback));
}

void VirtualTimers::Run(Milliseconds time) {
  const Milliseconds end = m_clock.Now() + time;
  while (m_timers.next_due().has_value() && *m_timers.next_due() <= end) {
    m_clock.Advance(std::max(Milliseconds(0), *m_timers.next_due() - m_clock.Now()));
    m_timers.RunDue(m_clock.Now());
  }
  m_clock.Advance(end - m_clock.Now());
}

}  // namespace papayalift
