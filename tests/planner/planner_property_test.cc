#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "libraries/planner/plan_starts.h"

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

PlanUnit AnyUnit(int number) {
  PlanUnit unit;
  unit.job = JobId("j" + std::to_string(number));
  unit.service = ServiceId("pool");
  unit.spec.kind = *rc::gen::element(WorkStepKind::kSingles, WorkStepKind::kGang);
  unit.spec.count = *rc::gen::inRange(1, 8);
  unit.spec.needs = Resources{*rc::gen::inRange<std::int64_t>(0, 4'000),
                              *rc::gen::inRange<std::int64_t>(0, 4'000),
                              *rc::gen::element<std::int64_t>(0, 1, 2, 4, 8)};
  unit.spec.wants_one_rack = *rc::gen::arbitrary<bool>();
  unit.spec.most_per_worker = *rc::gen::inRange(0, 3);
  unit.priority = Priority(*rc::gen::inRange(0, 3));
  unit.is_guaranteed = unit.priority == kGuaranteedPriority && *rc::gen::arbitrary<bool>();
  for (int index = 0; index < unit.spec.count; ++index) {
    unit.indexes.push_back(index);
  }
  return unit;
}

PlanSnapshot AnySnapshot() {
  PlanSnapshot snapshot;
  const int minions = *rc::gen::inRange(1, 9);
  for (int number = 0; number < minions; ++number) {
    snapshot.minions.push_back(AnyMinion(number));
  }
  const int units = *rc::gen::inRange(0, 9);
  for (int number = 0; number < units; ++number) {
    snapshot.units.push_back(AnyUnit(number));
  }
  const int victims = *rc::gen::inRange(0, 6);
  for (int number = 0; number < victims; ++number) {
    PlanVictim victim;
    victim.job = JobId("v" + std::to_string(number));
    victim.priority = Priority(*rc::gen::inRange(1, 3));
    victim.needs_each = Resources{100, 100, *rc::gen::inRange<std::int64_t>(0, 5)};
    victim.unsaved_work = *rc::gen::inRange(0, 100);
    const std::size_t place = *rc::gen::inRange<std::size_t>(0, snapshot.minions.size());
    victim.places = {PlanTaskPlace{0, snapshot.minions[place].id}};
    snapshot.victims.push_back(victim);
  }
  return snapshot;
}

const PlanUnit& UnitOf(const PlanSnapshot& snapshot, const JobId& job) {
  return *std::find_if(snapshot.units.begin(), snapshot.units.end(),
                       [&job](const PlanUnit& unit) { return unit.job == job; });
}

}  // namespace

Test(task_planner, any_snapshot_is_planned_within_its_room) {
  const bool held = rc::check("room, whole gangs, spread and victims", [] {
    const PlanSnapshot snapshot = AnySnapshot();
    const Plan plan = PlanStarts(snapshot);
    std::map<MinionId, Resources> taken;
    for (const PlannedStart& start : plan.starts) {
      const PlanUnit& unit = UnitOf(snapshot, start.job);
      if (unit.spec.kind == WorkStepKind::kGang) {
        RC_ASSERT(start.places.size() == unit.indexes.size());
      }
      std::map<MinionId, int> spread;
      std::set<int> indexes;
      for (const PlanTaskPlace& place : start.places) {
        taken[place.minion] += unit.spec.needs;
        RC_ASSERT(indexes.insert(place.index).second);
        ++spread[place.minion];
        RC_ASSERT(unit.spec.most_per_worker == 0 ||
                  spread[place.minion] <= unit.spec.most_per_worker);
      }
    }
    for (const PlanMinion& minion : snapshot.minions) {
      RC_ASSERT(taken[minion.id].Fits(minion.free));
    }
    for (const PlannedStop& stop : plan.stops) {
      const PlanUnit& unit = UnitOf(snapshot, stop.beneficiary);
      RC_ASSERT(unit.is_guaranteed);
    }
  });
  cr_assert(held);
}

}  // namespace papayalift
