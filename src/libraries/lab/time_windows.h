/// Spans of time, joined where they overlap.
#pragma once

#include <utility>
#include <vector>

#include "libraries/base/units.h"

namespace papayalift {

class TimeWindows {
 public:
  void Add(Milliseconds from, Milliseconds until);

  /// How much of the span from `from` until `until` lies in a window.
  Milliseconds Overlap(Milliseconds from, Milliseconds until) const;
  bool Contains(Milliseconds at) const;

 private:
  /// In order, apart from each other.
  std::vector<std::pair<Milliseconds, Milliseconds>> m_windows;
};

}  // namespace papayalift
