#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

#include "libraries/planner/task_planner.h"
#include "libraries/planner/workspace_shares.h"

namespace papayalift {

namespace {

constexpr Resources kCapacity{8'000, 8'000, 8};
constexpr int kMinions = 4;
const WorkspaceId kShop("shop");
const WorkspaceId kYard("yard");

Resources Accelerators(std::int64_t count) { return Resources{0, 0, count}; }

/// Four free minions, and workspaces whose quotas are set by the test.
struct QuotaFixture {
  QuotaFixture() {
    for (int number = 0; number < kMinions; ++number) {
      PlanMinion& minion = snapshot.minions.emplace_back();
      minion.id = MinionId("m" + std::to_string(number));
      minion.service = ServiceId("pool");
      minion.rack = RackId("r0");
      minion.capacity = kCapacity;
      minion.free = kCapacity;
    }
  }

  PlanWorkspace& AddWorkspace(const WorkspaceId& id, const Resources& quota) {
    PlanWorkspace& workspace = snapshot.workspaces.emplace_back();
    workspace.id = id;
    workspace.quota = quota;
    return workspace;
  }

  PendingStep& AddStep(const std::string& job, const WorkspaceId& workspace, WorkStepKind kind,
                       int count) {
    PendingStep& pending = snapshot.pending_steps.emplace_back();
    pending.job = JobId(job);
    pending.service = ServiceId("pool");
    pending.workspace = workspace;
    pending.spec.kind = kind;
    pending.spec.count = count;
    pending.spec.needs = Resources{500, 500, 1};
    pending.spec.estimate = Milliseconds(1'000);
    pending.priority = Priority(1);
    for (int index = 0; index < count; ++index) {
      pending.task_indexes.push_back(index);
    }
    return pending;
  }

  /// A run of lower priority that uses that many accelerators of the minion.
  void AddVictim(const std::string& job, const WorkspaceId& workspace, std::size_t minion,
                 std::int64_t accelerators, double unsaved_work) {
    PlanVictim& victim = snapshot.victims.emplace_back();
    victim.job = JobId(job);
    victim.workspace = workspace;
    victim.priority = Priority(2);
    victim.needs_per_task = Accelerators(accelerators);
    victim.placements = {PlannedPlacement{0, snapshot.minions[minion].id}};
    victim.unsaved_work = unsaved_work;
    snapshot.minions[minion].free -= victim.needs_per_task;
  }

  Plan Run() const { return PlanTasks(snapshot); }

  PlanSnapshot snapshot;
};

std::size_t StartedTasks(const Plan& plan, const std::string& job) {
  std::size_t tasks = 0;
  for (const PlannedStart& start : plan.starts) {
    tasks += start.job == JobId(job) ? start.placements.size() : 0;
  }
  return tasks;
}

bool WaitsFor(const Plan& plan, const std::string& job, WaitReason reason) {
  return std::any_of(plan.waits.begin(), plan.waits.end(), [&](const PlannedWait& wait) {
    return wait.job == JobId(job) && wait.reason == reason;
  });
}

}  // namespace

// Guards against starts that bring a workspace above its quota.
Test(workspace_quota, tasks_beyond_the_quota_wait) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(5)).running = Accelerators(2);
  fixture.AddStep("a", kShop, WorkStepKind::kIndependentTasks, 6);
  const Plan plan = fixture.Run();
  cr_assert_eq(StartedTasks(plan, "a"), 3);
  cr_assert(WaitsFor(plan, "a", WaitReason::kQuota));
}

// Guards against steps of one pass that are each checked against the quota alone.
Test(workspace_quota, steps_of_one_workspace_share_its_quota) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(5));
  fixture.AddStep("a", kShop, WorkStepKind::kIndependentTasks, 4);
  fixture.AddStep("b", kShop, WorkStepKind::kIndependentTasks, 4);
  const Plan plan = fixture.Run();
  cr_assert_eq(StartedTasks(plan, "a") + StartedTasks(plan, "b"), 5);
}

// Guards against room in the quota for runs that are being stopped but may still be active.
Test(workspace_quota, runs_that_are_being_stopped_count) {
  QuotaFixture fixture;
  PlanWorkspace& workspace = fixture.AddWorkspace(kShop, Accelerators(4));
  workspace.running = Accelerators(4);
  workspace.being_freed = Accelerators(4);
  fixture.AddStep("a", kShop, WorkStepKind::kIndependentTasks, 1);
  cr_assert_eq(StartedTasks(fixture.Run(), "a"), 0);
}

// Guards against a workspace at its quota that holds minions or its place in the order.
Test(workspace_quota, gang_beyond_the_quota_delays_no_other_workspace) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(32)).running = Accelerators(1);
  PendingStep& gang = fixture.AddStep("a", kShop, WorkStepKind::kGang, 32);
  gang.waited = Milliseconds(60'000);
  gang.slack = Milliseconds(-60'000);
  fixture.AddStep("b", kYard, WorkStepKind::kIndependentTasks, 32);
  const Plan plan = fixture.Run();
  cr_assert_eq(StartedTasks(plan, "a"), 0);
  cr_assert_eq(StartedTasks(plan, "b"), 32);
}

Test(workspace_quota, quota_lowered_below_what_runs_starts_nothing_of_that_kind) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(2)).running = Accelerators(6);
  fixture.AddStep("a", kShop, WorkStepKind::kIndependentTasks, 1);
  fixture.AddStep("b", kShop, WorkStepKind::kIndependentTasks, 1).spec.needs =
      Resources{500, 500, 0};
  const Plan plan = fixture.Run();
  cr_assert_eq(StartedTasks(plan, "a"), 0);
  cr_assert_eq(StartedTasks(plan, "b"), 1);
}

// Guards against narrow steps that take each part of the quota as it is released, so that a gang
// never starts.
Test(workspace_quota, quota_is_kept_for_the_gang_that_has_waited_longest) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(8)).running = Accelerators(5);
  fixture.AddStep("gang", kShop, WorkStepKind::kGang, 6).waited = Milliseconds(2'000);
  fixture.AddStep("narrow", kShop, WorkStepKind::kIndependentTasks, 3);
  cr_assert_eq(StartedTasks(fixture.Run(), "narrow"), 0);
}

// Guards against a job that is left with nothing running beside room while a gang is waited for.
Test(workspace_quota, idle_job_of_a_workspace_with_spare_quota_does_not_wait_for_a_gang) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(8)).running = Accelerators(4);
  fixture.AddStep("gang", kShop, WorkStepKind::kGang, 6).waited = Milliseconds(4'000);
  fixture.AddStep("narrow", kShop, WorkStepKind::kIndependentTasks, 1).waited = Milliseconds(1'000);
  cr_assert_eq(StartedTasks(fixture.Run(), "narrow"), 1);
}

// Guards against a guarantee that is never returned because borrowed work fills the quota.
Test(workspace_quota, guaranteed_step_stops_its_own_workspace) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(8)).running = Accelerators(8);
  fixture.AddVictim("cheap", kShop, 0, 4, 1);
  fixture.AddVictim("dear", kShop, 1, 4, 100);
  fixture.AddVictim("other", kYard, 2, 4, 0);
  PendingStep& pending = fixture.AddStep("a", kShop, WorkStepKind::kGang, 4);
  pending.is_guaranteed = true;
  pending.priority = kGuaranteedPriority;
  const Plan plan = fixture.Run();
  cr_assert_eq(StartedTasks(plan, "a"), 0, "the runs have not ended yet");
  cr_assert_eq(plan.stops.size(), 1);
  cr_assert(plan.stops[0].job == JobId("cheap"));
}

Test(workspace_quota, step_beyond_its_guarantee_stops_nothing_for_its_quota) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Accelerators(8)).running = Accelerators(8);
  fixture.AddVictim("cheap", kShop, 0, 8, 1);
  fixture.AddStep("a", kShop, WorkStepKind::kGang, 4);
  const Plan plan = fixture.Run();
  cr_assert(plan.stops.empty());
  cr_assert(WaitsFor(plan, "a", WaitReason::kQuota));
}

Test(workspace_quota, any_plan_stays_within_the_quotas) {
  cr_assert(rc::check("no workspace is brought above its quota", [] {
    QuotaFixture fixture;
    std::map<WorkspaceId, std::int64_t> room;
    for (const WorkspaceId& id : {kShop, kYard}) {
      PlanWorkspace& workspace = fixture.AddWorkspace(id, Accelerators(*rc::gen::inRange(1, 24)));
      workspace.running = Accelerators(*rc::gen::inRange(0, 24));
      workspace.being_freed =
          Accelerators(*rc::gen::inRange<std::int64_t>(0, workspace.running.accelerators + 1));
      room[id] =
          std::max<std::int64_t>(0, workspace.quota.accelerators - workspace.running.accelerators);
    }
    const int steps = *rc::gen::inRange(1, 12);
    for (int number = 0; number < steps; ++number) {
      PendingStep& pending =
          fixture.AddStep(std::to_string(number), *rc::gen::element(kShop, kYard),
                          *rc::gen::element(WorkStepKind::kIndependentTasks, WorkStepKind::kGang),
                          *rc::gen::inRange(1, 12));
      pending.waited = Milliseconds(*rc::gen::inRange(0, 5'000));
      pending.is_guaranteed = *rc::gen::arbitrary<bool>();
      pending.priority = pending.is_guaranteed ? kGuaranteedPriority : Priority(1);
    }
    const Plan plan = fixture.Run();
    for (const PendingStep& pending : fixture.snapshot.pending_steps) {
      room[pending.workspace] -= static_cast<std::int64_t>(StartedTasks(plan, pending.job.text()));
    }
    RC_ASSERT(room[kShop] >= 0);
    RC_ASSERT(room[kYard] >= 0);
  }));
}

// A workspace that submits many times its usual amount fills the fleet.
Test(workspace_shares, workspace_over_its_share_of_a_full_fleet_starts_last) {
  QuotaFixture fixture;
  for (const WorkspaceId& id : {kShop, kYard}) {
    fixture.AddWorkspace(id, Resources{}).weight = 1;
  }
  fixture.snapshot.workspaces[0].running = Accelerators(28);
  for (PlanMinion& minion : fixture.snapshot.minions) {
    minion.free.accelerators = 1;
  }
  fixture.AddStep("a", kShop, WorkStepKind::kIndependentTasks, 4).slack = Milliseconds(0);
  fixture.AddStep("b", kYard, WorkStepKind::kIndependentTasks, 4).slack = Milliseconds(9'000);
  cr_assert_eq(StartedTasks(fixture.Run(), "b"), 4);
}

Test(workspace_shares, weights_change_nothing_while_the_fleet_is_not_full) {
  QuotaFixture fixture;
  fixture.AddWorkspace(kShop, Resources{}).weight = 1;
  fixture.AddWorkspace(kYard, Resources{}).weight = 9;
  fixture.snapshot.workspaces[0].running = Accelerators(16);
  fixture.snapshot.minions[0].free = Resources{};
  fixture.snapshot.minions[1].free = Resources{};
  cr_assert(FindWorkspacesOverShare(fixture.snapshot).empty());
}

}  // namespace papayalift
