#include <criterion/criterion.h>

#include <map>
#include <string>

#include "libraries/planner/task_planner.h"

namespace papayalift {

namespace {

constexpr Resources kCapacity{64'000, 64'000, 64};

/// One large free minion, and steps of a leader that is behind.
struct AllowanceFixture {
  AllowanceFixture() {
    PlanMinion minion;
    minion.id = MinionId("m0");
    minion.service = ServiceId("pool");
    minion.rack = RackId("r0");
    minion.capacity = kCapacity;
    minion.free = kCapacity;
    snapshot.minions.push_back(minion);
    snapshot.starts = StartAllowance{6, 10, 4};
  }

  PendingStep& Add(const std::string& job, int count) {
    PendingStep pending;
    pending.job = JobId(job);
    pending.service = ServiceId("pool");
    pending.spec.count = count;
    pending.spec.needs = Resources{500, 500, 1};
    pending.priority = Priority(1);
    pending.job_has_runs = true;
    for (int index = 0; index < count; ++index) {
      pending.task_indexes.push_back(index);
    }
    snapshot.pending_steps.push_back(pending);
    return snapshot.pending_steps.back();
  }

  /// Tasks that the pass starts, by job.
  std::map<std::string, std::size_t> Started() const {
    std::map<std::string, std::size_t> started;
    for (const PlannedStart& start : PlanTasks(snapshot).starts) {
      started[start.job.text()] += start.placements.size();
    }
    return started;
  }

  PlanSnapshot snapshot;
};

using Started = std::map<std::string, std::size_t>;

}  // namespace

Test(start_allowance, limited_pass_shares_it_out_among_steps) {
  AllowanceFixture fixture;
  fixture.Add("a", 20);
  fixture.Add("b", 20);
  fixture.Add("c", 20);
  cr_expect(fixture.Started() == (Started{{"a", 4}, {"b", 2}}));
}

Test(start_allowance, step_that_is_not_started_waits_for_the_leader) {
  AllowanceFixture fixture;
  fixture.snapshot.starts.tasks = 0;
  fixture.Add("a", 3);
  const Plan plan = PlanTasks(fixture.snapshot);
  cr_expect(plan.starts.empty());
  cr_assert_eq(plan.waits.size(), 1);
  cr_expect(plan.waits[0].reason == WaitReason::kLeaderBehind);
  cr_expect_eq(plan.waits[0].tasks, 3);
}

Test(start_allowance, step_within_its_guarantee_starts_though_the_rest_may_not) {
  AllowanceFixture fixture;
  fixture.snapshot.starts.tasks = 0;
  fixture.Add("a", 3);
  fixture.Add("urgent", 8).is_guaranteed = true;
  cr_expect(fixture.Started() == (Started{{"urgent", 8}}));
}

// Jobs stood without a task for as long as the leader was behind, though there was room (issue 65).
Test(start_allowance, standing_jobs_get_one_task_each_before_others_get_more) {
  AllowanceFixture fixture;
  fixture.Add("a", 20);
  for (const char* const job : {"x", "y", "z"}) {
    PendingStep& standing = fixture.Add(job, 20);
    standing.job_has_runs = false;
    standing.waited = Milliseconds(1'000);
  }
  cr_expect(fixture.Started() == (Started{{"x", 1}, {"y", 1}, {"z", 1}, {"a", 3}}));
}

Test(start_allowance, gang_wider_than_the_allowance_starts_whole) {
  AllowanceFixture fixture;
  fixture.Add("a", 20).spec.kind = WorkStepKind::kGang;
  fixture.Add("b", 1);
  cr_expect(fixture.Started() == (Started{{"a", 20}}));
}

}  // namespace papayalift
