#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

#include "libraries/planner/task_planner.h"

namespace papayalift {

namespace {

PlanMinion AnyMinion(int number) {
  PlanMinion minion;
  minion.id = MinionId("m" + std::to_string(number));
  minion.service = ServiceId("pool");
  minion.rack = RackId("r" + std::to_string(number / 3));
  minion.capacity = Resources{8'000, 8'000, 8};
  minion.free =
      Resources{*rc::gen::inRange<std::int64_t>(0, 8'001),
                *rc::gen::inRange<std::int64_t>(0, 8'001), *rc::gen::inRange<std::int64_t>(0, 9)};
  minion.speed = *rc::gen::element(0.2, 0.8, 1.0, 1.25);
  return minion;
}

PendingStep AnyPendingStep(int number) {
  PendingStep pending;
  pending.job = JobId("j" + std::to_string(number));
  pending.service = ServiceId("pool");
  pending.spec.kind = *rc::gen::element(WorkStepKind::kIndependentTasks, WorkStepKind::kGang);
  pending.spec.count = *rc::gen::inRange(1, 8);
  pending.spec.needs = Resources{*rc::gen::inRange<std::int64_t>(0, 4'000),
                                 *rc::gen::inRange<std::int64_t>(0, 4'000),
                                 *rc::gen::element<std::int64_t>(0, 1, 2, 4, 8)};
  pending.spec.prefers_one_rack = *rc::gen::arbitrary<bool>();
  pending.spec.max_tasks_per_worker = *rc::gen::inRange(0, 3);
  pending.priority = Priority(*rc::gen::inRange(0, 3));
  pending.is_guaranteed = pending.priority == kGuaranteedPriority && *rc::gen::arbitrary<bool>();
  pending.max_lost_work = pending.is_guaranteed ? 0 : *rc::gen::element(0, 30, 150);
  for (int index = 0; index < pending.spec.count; ++index) {
    pending.task_indexes.push_back(index);
  }
  return pending;
}

PlanSnapshot AnySnapshot() {
  PlanSnapshot snapshot;
  const int minions = *rc::gen::inRange(1, 9);
  for (int number = 0; number < minions; ++number) {
    snapshot.minions.push_back(AnyMinion(number));
  }
  const int pending_steps = *rc::gen::inRange(0, 9);
  for (int number = 0; number < pending_steps; ++number) {
    snapshot.pending_steps.push_back(AnyPendingStep(number));
  }
  const int victims = *rc::gen::inRange(0, 6);
  for (int number = 0; number < victims; ++number) {
    PlanVictim victim;
    victim.job = JobId("v" + std::to_string(number));
    victim.priority = Priority(*rc::gen::inRange(1, 3));
    victim.needs_per_task = Resources{100, 100, *rc::gen::inRange<std::int64_t>(0, 5)};
    victim.unsaved_work = *rc::gen::inRange(0, 100);
    const std::size_t placement = *rc::gen::inRange<std::size_t>(0, snapshot.minions.size());
    victim.placements = {PlannedPlacement{0, snapshot.minions[placement].id}};
    snapshot.victims.push_back(victim);
  }
  return snapshot;
}

const PendingStep& PendingStepOf(const PlanSnapshot& snapshot, const JobId& job) {
  return *std::find_if(snapshot.pending_steps.begin(), snapshot.pending_steps.end(),
                       [&job](const PendingStep& pending) { return pending.job == job; });
}

const PlanVictim& VictimOf(const PlanSnapshot& snapshot, const JobId& job) {
  return *std::find_if(snapshot.victims.begin(), snapshot.victims.end(),
                       [&job](const PlanVictim& victim) { return victim.job == job; });
}

}  // namespace

Test(task_planner, any_snapshot_is_planned_within_its_capacity) {
  const bool held =
      rc::check("plans respect capacity, whole gangs, tasks per worker and victims", [] {
        const PlanSnapshot snapshot = AnySnapshot();
        const Plan plan = PlanTasks(snapshot);
        std::map<MinionId, Resources> taken;
        for (const PlannedStart& start : plan.starts) {
          const PendingStep& pending = PendingStepOf(snapshot, start.job);
          if (pending.spec.kind == WorkStepKind::kGang) {
            RC_ASSERT(start.placements.size() == pending.task_indexes.size());
          }
          std::map<MinionId, int> spread;
          std::set<int> task_indexes;
          for (const PlannedPlacement& placement : start.placements) {
            taken[placement.minion] += pending.spec.needs;
            RC_ASSERT(task_indexes.insert(placement.index).second);
            ++spread[placement.minion];
            RC_ASSERT(pending.spec.max_tasks_per_worker == 0 ||
                      spread[placement.minion] <= pending.spec.max_tasks_per_worker);
          }
        }
        for (const PlanMinion& minion : snapshot.minions) {
          RC_ASSERT(taken[minion.id].Fits(minion.free));
        }
        std::map<JobId, double> lost_work;
        for (const PlannedStop& stop : plan.stops) {
          const PendingStep& pending = PendingStepOf(snapshot, stop.beneficiary);
          const PlanVictim& victim = VictimOf(snapshot, stop.job);
          RC_ASSERT(victim.priority > pending.priority);
          lost_work[stop.beneficiary] += victim.unsaved_work;
          RC_ASSERT(pending.is_guaranteed || lost_work[stop.beneficiary] < pending.max_lost_work);
        }
      });
  cr_assert(held);
}

}  // namespace papayalift
