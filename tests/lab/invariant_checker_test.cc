#include "libraries/lab/invariant_checker.h"

#include <criterion/criterion.h>

#include <functional>

#include "lab/lab_fixture.h"
#include "libraries/decisions/decide.h"
#include "libraries/lab/simulation.h"

namespace papayalift {

namespace {

constexpr Shape kPair{TaskCount(2), AcceleratorCount(2)};

/// Runs fifo and applies `mutate` to each start decision.
InvariantReport RunWithMutatedStarts(const std::function<void(StartDecision&)>& mutate,
                                     const std::vector<ZoneChange>& changes = {}) {
  LabFixture fixture;
  fixture.AddJobs("pair", kPair, 10 * kMinute, kMinute, kNeverCancelled, 3);
  fixture.scenario.zone_changes = changes;
  // Without a delay, a gang that cannot commit would be started again at the same virtual time.
  fixture.scenario.timing.start_delay = Milliseconds(300);
  const Policy policy = *FindPolicy("fifo");
  Simulation simulation(fixture.scenario, 1, [&](const Snapshot& snapshot) {
    Decision decision = Decide(snapshot, policy);
    for (StartDecision& start : decision.starts) {
      mutate(start);
    }
    return decision;
  });
  return simulation.Run().invariants;
}

}  // namespace

Test(invariant_checker, check_valid_policy_reports_no_violations) {
  const InvariantReport report = RunWithMutatedStarts([](StartDecision& /*start*/) {});
  cr_assert_eq(report.partial_gangs + report.split_gangs, 0);
  cr_assert_eq(report.capacity_exceeded + report.placed_into_zone_out, 0);
}

Test(invariant_checker, check_missing_task_counts_partial_gangs) {
  const InvariantReport report =
      RunWithMutatedStarts([](StartDecision& start) { start.tasks.pop_back(); });
  cr_assert_eq(report.partial_gangs, 3);
}

Test(invariant_checker, check_non_adjacent_accelerators_counts_partial_gangs) {
  const AcceleratorSet non_adjacent(0b1001);
  const InvariantReport report = RunWithMutatedStarts(
      [&non_adjacent](StartDecision& start) { start.tasks.front().accelerators = non_adjacent; });
  cr_assert_eq(report.partial_gangs, 3);
}

Test(invariant_checker, check_same_accelerators_twice_counts_capacity_exceeded) {
  const InvariantReport report =
      RunWithMutatedStarts([](StartDecision& start) { start.tasks.back() = start.tasks.front(); });
  cr_assert_geq(report.capacity_exceeded, 3);
}

Test(invariant_checker, check_task_in_other_zone_counts_split_gangs) {
  const InvariantReport report = RunWithMutatedStarts([](StartDecision& start) {
    start.tasks.front().worker = WorkerId("region-1-zone-1-worker-001");
    start.tasks.back().worker = WorkerId("region-1-zone-2-worker-001");
  });
  cr_assert_eq(report.split_gangs, 3);
}

Test(invariant_checker, check_start_in_zone_out_is_counted) {
  const ZoneId zone("region-1-zone-1");
  const InvariantReport report =
      RunWithMutatedStarts([&zone](StartDecision& start) { start.zone = zone; },
                           {ZoneChange{zone, Milliseconds(0), 100 * kMinute}});
  cr_assert_gt(report.placed_into_zone_out, 0);
}

}  // namespace papayalift
