#include "libraries/model/accelerator_set.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace papayalift {

namespace {

/// The longest run, counted position by position.
int ReferenceLongestRun(AcceleratorSet set) {
  int longest = 0;
  int current = 0;
  for (int position = 0; position < AcceleratorSet::kMaxWorkerAccelerators; ++position) {
    const bool is_set = set.Contains(AcceleratorSet::RunAt(position, AcceleratorCount(1)));
    current = is_set ? current + 1 : 0;
    longest = std::max(longest, current);
  }
  return longest;
}

}  // namespace

Test(accelerator_set, longest_run_any_set_matches_the_reference) {
  cr_assert(rc::check("longest run", [](std::uint64_t bits) {
    const AcceleratorSet set(bits);
    RC_ASSERT(set.LongestRun().value() == ReferenceLongestRun(set));
  }));
}

Test(accelerator_set, find_best_fit_any_set_returns_a_run_iff_one_is_long_enough) {
  cr_assert(rc::check("best fit", [](std::uint64_t bits) {
    const AcceleratorSet set(bits);
    const AcceleratorCount wanted(*rc::gen::inRange(1, AcceleratorSet::kMaxWorkerAccelerators + 1));
    const std::optional<AcceleratorSet> run = set.FindBestFit(wanted);
    RC_ASSERT(run.has_value() == (set.LongestRun() >= wanted));
    if (run) {
      RC_ASSERT(set.Contains(*run));
      RC_ASSERT(run->Count() == wanted);
      RC_ASSERT(run->LongestRun() == wanted);
    }
  }));
}

Test(accelerator_set, find_best_fit_two_runs_returns_the_shorter) {
  const AcceleratorSet set(0b0110'1111);
  cr_assert(set.FindBestFit(AcceleratorCount(2)) == AcceleratorSet(0b0110'0000));
}

Test(accelerator_set, find_best_fit_full_largest_worker_returns_all) {
  const AcceleratorSet all = AcceleratorSet::First(AcceleratorCount(64));
  cr_assert(all.FindBestFit(AcceleratorCount(64)) == all);
}

}  // namespace papayalift
