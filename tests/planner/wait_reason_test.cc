#include "libraries/planner/wait_reason.h"

#include <criterion/criterion.h>

#include "libraries/planner/task_planner.h"

namespace papayalift {

namespace {

constexpr Resources kCapacity{8'000, 8'000, 8};

/// Four minions on two racks. The second of each is full.
struct HalfFullRacks {
  HalfFullRacks() {
    for (int number = 0; number < 4; ++number) {
      PlanMinion minion;
      minion.id = MinionId("m" + std::to_string(number));
      minion.service = ServiceId("pool");
      minion.rack = RackId("r" + std::to_string(number / 2));
      minion.capacity = kCapacity;
      minion.free = number % 2 == 0 ? kCapacity : Resources{};
      minion.is_idle = number % 2 == 0;
      snapshot.minions.push_back(minion);
    }
  }

  PendingStep& Add(const std::string& job, WorkStepKind kind, int count) {
    PendingStep pending;
    pending.job = JobId(job);
    pending.service = ServiceId("pool");
    pending.spec.kind = kind;
    pending.spec.count = count;
    pending.spec.needs = Resources{500, 500, 8};
    pending.priority = Priority(1);
    for (int index = 0; index < count; ++index) {
      pending.task_indexes.push_back(index);
    }
    snapshot.pending_steps.push_back(pending);
    return snapshot.pending_steps.back();
  }

  void AssertWaits(const std::string& job, int tasks, WaitReason reason) const {
    const Plan plan = PlanTasks(snapshot);
    cr_assert_eq(plan.waits.size(), 1);
    cr_assert_eq(plan.waits[0].job, JobId(job));
    cr_assert_eq(plan.waits[0].tasks, tasks);
    cr_assert_eq(WaitReasonText(plan.waits[0].reason), WaitReasonText(reason));
  }

  PlanSnapshot snapshot;
};

}  // namespace

Test(wait_reason, gang_without_room_waits_for_capacity) {
  HalfFullRacks fixture;
  fixture.Add("gang", WorkStepKind::kGang, 3);
  fixture.AssertWaits("gang", 3, WaitReason::kNoCapacity);
}

Test(wait_reason, tasks_beyond_the_room_wait_for_capacity) {
  HalfFullRacks fixture;
  fixture.Add("tasks", WorkStepKind::kIndependentTasks, 5);
  fixture.AssertWaits("tasks", 3, WaitReason::kNoCapacity);
}

Test(wait_reason, gang_with_capacity_being_freed_for_it_waits_for_stops) {
  HalfFullRacks fixture;
  fixture.snapshot.minions[1].being_freed = kCapacity;
  fixture.Add("gang", WorkStepKind::kGang, 3).is_guaranteed = true;
  fixture.AssertWaits("gang", 3, WaitReason::kStops);
}

Test(wait_reason, suspect_without_an_idle_minion_waits_for_isolation) {
  HalfFullRacks fixture;
  for (PlanMinion& minion : fixture.snapshot.minions) {
    minion.is_idle = false;
  }
  PendingStep& suspect = fixture.Add("suspect", WorkStepKind::kIndependentTasks, 1);
  suspect.isolated = {0};
  suspect.max_isolation_wait = Milliseconds(1'000);
  suspect.max_isolation_wait_with_spare_capacity = Milliseconds(1'000);
  fixture.AssertWaits("suspect", 1, WaitReason::kIsolation);
}

Test(wait_reason, step_behind_a_reservation_waits_for_reserved_room) {
  HalfFullRacks fixture;
  fixture.snapshot.minions[1].being_freed = kCapacity;
  fixture.Add("first", WorkStepKind::kGang, 3).is_guaranteed = true;
  fixture.Add("second", WorkStepKind::kIndependentTasks, 1);
  const Plan plan = PlanTasks(fixture.snapshot);
  cr_assert_eq(plan.waits.size(), 2);
  cr_assert_eq(plan.waits[1].job, JobId("second"));
  cr_assert_eq(WaitReasonText(plan.waits[1].reason), "reserved");
}

}  // namespace papayalift
