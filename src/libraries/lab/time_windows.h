/// Set of time intervals; overlapping intervals are merged.
#pragma once

#include <utility>
#include <vector>

#include "libraries/base/units.h"

namespace papayalift {

class TimeWindows {
 public:
  void Add(Milliseconds from, Milliseconds until);

  /// Length of the part of [`from`, `until`) that lies in a window.
  Milliseconds Overlap(Milliseconds from, Milliseconds until) const;
  bool Contains(Milliseconds at) const;

 private:
  /// Sorted and disjoint.
  std::vector<std::pair<Milliseconds, Milliseconds>> m_windows;
};

}  // namespace papayalift
