#include "libraries/lab/time_windows.h"

#include <algorithm>

namespace papayalift {

void TimeWindows::Add(Milliseconds from, Milliseconds until) {
  m_windows.emplace_back(from, until);
  std::sort(m_windows.begin(), m_windows.end());
  std::vector<std::pair<Milliseconds, Milliseconds>> joined;
  for (const std::pair<Milliseconds, Milliseconds>& window : m_windows) {
    if (joined.empty() || joined.back().second < window.first) {
      joined.push_back(window);
    } else {
      joined.back().second = std::max(joined.back().second, window.second);
    }
  }
  m_windows = std::move(joined);
}

Milliseconds TimeWindows::Overlap(Milliseconds from, Milliseconds until) const {
  Milliseconds overlap{0};
  for (const auto& [begin, end] : m_windows) {
    overlap += std::max(Milliseconds(0), std::min(until, end) - std::max(from, begin));
  }
  return overlap;
}

bool TimeWindows::Contains(Milliseconds at) const {
  return std::any_of(m_windows.begin(), m_windows.end(),
                     [at](const std::pair<Milliseconds, Milliseconds>& window) {
                       return window.first <= at && at < window.second;
                     });
}

}  // namespace papayalift
