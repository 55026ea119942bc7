#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "leader/failure_scenario.h"

namespace papayalift {

// The leader was killed after it had stored the second placement and before it sent the start.
Test(crash_sequence, task_that_was_started_once_is_not_given_up) {
  const bool held = rc::check("one start, then a placement without a start", [] {
    CheckSequence(
        {0, 5876, 4518, 2455, 6812, 248, 4338, 1'001'742, 7024, 1'001'187, 7376, 3078, 11682});
  });
  cr_assert(held);
}

}  // namespace papayalift
