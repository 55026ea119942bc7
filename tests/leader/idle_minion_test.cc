#include <criterion/criterion.h>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

/// Starts that the leader has sent for a job of one task on each of two minions, which had no work
/// for `idle`. The clock of one of them is slow.
int StartsAfter(Milliseconds idle) {
  TestCluster cluster(1, 2);
  cluster.Run(idle);
  RegisteredJob job;
  job.work.steps = {MakeStep(2, 8)};
  cluster.Submit(MakeJobId(1), job);
  cluster.Run(Milliseconds(5'000));
  cr_expect(cluster.StateOf(MakeJobId(1)) == WorkState::kDone);
  cr_expect(cluster.minions.violations().empty());
  return cluster.node(0).minions().starts();
}

}  // namespace

// The estimate of the minion's clock aged into a deadline in its past, and the start was refused as
// late 130 times in 2.4 s.
Test(idle_minion, gets_its_next_start_with_a_deadline_ahead_of_its_clock) {
  cr_assert_eq(StartsAfter(Milliseconds(140'000)), 2);
  cr_assert_eq(StartsAfter(Milliseconds(350'000)), 2);
}

Test(idle_minion, that_refuses_a_start_as_late_is_asked_again_by_the_clock_that_it_told) {
  cr_assert(StartsAfter(Milliseconds(3'600'000)) <= 4);
}

}  // namespace papayalift
