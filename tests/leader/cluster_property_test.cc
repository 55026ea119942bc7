#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "leader/failure_scenario.h"

namespace papayalift {

namespace {

/// Sequences of actions that once left a job unfinished.
const std::vector<std::vector<int>> kFailedSequences = {
    // Entries read again after the store had forgotten its history were taken for heartbeats.
    {0, 4111, 290, 3004, 8828, 0, 2322},
    // An entry that a refused write had shown before the watch did was taken for a heartbeat.
    {3582, 1662, 2217, 1954, 3095, 0, 9147},
};

}  // namespace

Test(cluster, sequences_that_failed_once_end_every_job) {
  const bool held = rc::check("sequences that failed once",
                              [] { CheckSequence(*rc::gen::elementOf(kFailedSequences)); });
  cr_assert(held);
}

Test(cluster, any_failure_sequence_ends_every_job_without_violations) {
  const bool held = rc::check("faults of nodes, store and minions in any order", [] {
    const std::vector<int> numbers =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kActionKinds * 1'000));
    CheckSequence(numbers);
  });
  cr_assert(held);
}

}  // namespace papayalift
