#include "libraries/model/accelerator_set.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace papayalift {

namespace {

/// The longest run, counted position by position.
int LongestRunByCounting(AcceleratorSet set) {
  int longest = 0;
  int current = 0;
  for (int position = 0; position < AcceleratorSet::kLargestWorker; ++position) {
    const bool held = set.Contains(AcceleratorSet::RunAt(position, AcceleratorCount(1)));
    current = held ? current + 1 : 0;
    longest = std::max(longest, current);
  }
  return longest;
}

}  // namespace

Test(accelerator_set, longest_run_agrees_with_counting) {
  cr_assert(rc::check("longest run", [](std::uint64_t bits) {
    const AcceleratorSet set(bits);
    RC_ASSERT(set.LongestRun().value() == LongestRunByCounting(set));
  }));
}

Test(accelerator_set, tightest_run_lies_in_the_set_and_is_found_if_there_is_one) {
  cr_assert(rc::check("tightest run", [](std::uint64_t bits) {
    const AcceleratorSet set(bits);
    const AcceleratorCount wanted(*rc::gen::inRange(1, AcceleratorSet::kLargestWorker + 1));
    const std::optional<AcceleratorSet> run = set.TightestRun(wanted);
    RC_ASSERT(run.has_value() == (set.LongestRun() >= wanted));
    if (run) {
      RC_ASSERT(set.Contains(*run));
      RC_ASSERT(run->Count() == wanted);
      RC_ASSERT(run->LongestRun() == wanted);
    }
  }));
}

Test(accelerator_set, tightest_run_two_gaps_takes_the_smaller) {
  const AcceleratorSet set(0b0110'1111);
  cr_assert(set.TightestRun(AcceleratorCount(2)) == AcceleratorSet(0b0110'0000));
}

Test(accelerator_set, tightest_run_whole_largest_worker_is_found) {
  const AcceleratorSet all = AcceleratorSet::First(AcceleratorCount(64));
  cr_assert(all.TightestRun(AcceleratorCount(64)) == all);
}

}  // namespace papayalift
