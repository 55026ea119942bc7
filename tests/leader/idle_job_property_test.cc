#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "leader/idle_job_scenario.h"

namespace papayalift {

namespace {

/// Any number of the action, whatever the size of the test case.
rc::Gen<std::vector<int>> Numbers(int actions) {
  return rc::gen::container<std::vector<int>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, actions * kIdleJobParameters)));
}

}  // namespace

// Issue 40: jobs stood for seconds beside empty minions, and nothing checked the rule's words.
Test(idle_job, any_sequence_leaves_no_ready_job_without_runs_while_there_is_room_twice_over) {
  const bool held = rc::check("jobs and faults in any order on a fleet with racks", [] {
    IdleJobSequence sequence;
    sequence.fleet.minions = *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(12, 49));
    sequence.fleet.minions_of_each_rack =
        *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(3, 7));
    sequence.calm = *Numbers(kCalmIdleJobActions);
    sequence.faulty = *Numbers(kIdleJobActions);
    sequence.calm_again = *Numbers(kCalmIdleJobActions);
    CheckIdleJobs(sequence);
  });
  cr_assert(held);
}

}  // namespace papayalift
