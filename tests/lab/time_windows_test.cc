#include "libraries/lab/time_windows.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace papayalift {

Test(time_windows, overlap_any_windows_counts_each_moment_once) {
  const bool holds = rc::check("overlap equals the count of moments inside", [] {
    constexpr int kEnd = 40;
    TimeWindows windows;
    std::vector<bool> inside(kEnd, false);
    const int count = *rc::gen::inRange(0, 6);
    for (int index = 0; index < count; ++index) {
      const int from = *rc::gen::inRange(0, kEnd);
      const int until = *rc::gen::inRange(from, kEnd);
      windows.Add(Milliseconds(from), Milliseconds(until));
      std::fill(inside.begin() + from, inside.begin() + until, true);
    }
    const int begin = *rc::gen::inRange(0, kEnd);
    const int end = *rc::gen::inRange(begin, kEnd);
    const std::int64_t expected = std::count(inside.begin() + begin, inside.begin() + end, true);
    RC_ASSERT(windows.Overlap(Milliseconds(begin), Milliseconds(end)).count() == expected);
  });
  cr_assert(holds);
}

}  // namespace papayalift
