#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "leader/failure_scenario.h"

namespace papayalift {

namespace {

void ExpectHolds(const std::vector<int>& numbers) {
  const bool held = rc::check("sequence that failed once", [&numbers] { CheckSequence(numbers); });
  cr_assert(held);
}

}  // namespace

// The leader was killed after it had stored the second placement and before it sent the start.
Test(crash_sequence, task_that_was_started_once_is_not_given_up) {
  ExpectHolds(
      {0, 5876, 4518, 2455, 6812, 248, 4338, 1'001'742, 7024, 1'001'187, 7376, 3078, 11682});
}

// The leader lost the store before it stored the end, and the next one took the run for crashed.
Test(crash_sequence, task_that_was_done_before_its_minion_restarted_is_not_given_up) {
  ExpectHolds({1'000'000, 4116, 1475, 1'000'955, 1449, 1'002'062, 8324, 0, 0, 0, 3872, 2645, 7425});
}

// Minions that were back from an outage counted as lost in the crashes that followed it.
Test(crash_sequence, deadly_task_after_a_lost_zone_is_given_up_within_its_budget) {
  ExpectHolds({0, 4023, 1'001'093, 1'001'580, 449, 0, 0, 1'001'229});
}

// Crashes before the answer to the start counted as those of several jobs, of which four are
// needed.
Test(crash_sequence, deadly_task_whose_starts_are_not_answered_is_given_up_within_its_budget) {
  ExpectHolds({1'000'000, 3914, 0, 0, 1'000'609});
  ExpectHolds({1'000'000, 965, 1'002'348, 2673, 1'000'793});
}

}  // namespace papayalift
