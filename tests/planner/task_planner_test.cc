#include <criterion/criterion.h>

#include "libraries/planner/plan_starts.h"

namespace papayalift {

namespace {

constexpr Resources kCapacity{8'000, 8'000, 8};

/// Four minions on two racks, all free.
struct PlannerFixture {
  PlannerFixture() {
    for (int number = 0; number < 4; ++number) {
      PlanMinion minion;
      minion.id = MinionId("m" + std::to_string(number));
      minion.service = ServiceId("pool");
      minion.rack = RackId("r" + std::to_string(number / 2));
      minion.labels = {"kind", minion.rack.text()};
      minion.capacity = kCapacity;
      minion.free = kCapacity;
      snapshot.minions.push_back(minion);
    }
  }

  PlanUnit& AddUnit(const std::string& job, WorkStepKind kind, int count,
                    std::int64_t accelerators) {
    PlanUnit unit;
    unit.job = JobId(job);
    unit.service = ServiceId("pool");
    unit.spec.kind = kind;
    unit.spec.count = count;
    unit.spec.needs = Resources{500, 500, accelerators};
    unit.priority = Priority(1);
    unit.rack_patience = Milliseconds(5'000);
    for (int index = 0; index < count; ++index) {
      unit.indexes.push_back(index);
    }
    snapshot.units.push_back(unit);
    return snapshot.units.back();
  }

  /// Something of lower priority that fills a minion.
  void Fill(std::size_t minion, double unsaved_work, const std::string& job) {
    snapshot.minions[minion].free = Resources{};
    PlanVictim victim;
    victim.job = JobId(job);
    victim.priority = Priority(2);
    victim.needs_each = kCapacity;
    victim.places = {PlanTaskPlace{0, snapshot.minions[minion].id}};
    victim.unsaved_work = unsaved_work;
    snapshot.victims.push_back(victim);
  }

  Plan Run() const { return PlanStarts(snapshot); }

  PlanSnapshot snapshot;
};

std::set<std::string> MinionsOf(const PlannedStart& start) {
  std::set<std::string> minions;
  for (const PlanTaskPlace& place : start.places) {
    minions.insert(place.minion.text());
  }
  return minions;
}

}  // namespace

Test(task_planner, gang_that_does_not_fit_whole_starts_nothing) {
  PlannerFixture fixture;
  fixture.AddUnit("gang", WorkStepKind::kGang, 5, 8);
  cr_assert(fixture.Run().starts.empty());
}

Test(task_planner, single_tasks_start_as_far_as_there_is_room) {
  PlannerFixture fixture;
  fixture.AddUnit("singles", WorkStepKind::kSingles, 5, 8);
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert_eq(plan.starts[0].places.size(), 4);
}

Test(task_planner, gang_that_wants_one_rack_gets_one) {
  PlannerFixture fixture;
  fixture.snapshot.minions[0].free.accelerators = 2;
  fixture.AddUnit("gang", WorkStepKind::kGang, 2, 8).spec.wants_one_rack = true;
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(MinionsOf(plan.starts[0]) == (std::set<std::string>{"m2", "m3"}));
}

Test(task_planner, gang_waits_for_a_rack_only_for_its_patience) {
  PlannerFixture fixture;
  fixture.snapshot.minions[0].free.accelerators = 2;
  fixture.snapshot.minions[2].free.accelerators = 2;
  fixture.AddUnit("gang", WorkStepKind::kGang, 2, 8).spec.wants_one_rack = true;
  cr_assert(fixture.Run().starts.empty());
  fixture.snapshot.units[0].waited = Milliseconds(6'000);
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

Test(task_planner, gang_wider_than_a_rack_does_not_wait_for_one) {
  PlannerFixture fixture;
  fixture.AddUnit("gang", WorkStepKind::kGang, 3, 8).spec.wants_one_rack = true;
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

Test(task_planner, task_goes_where_its_data_lies) {
  PlannerFixture fixture;
  fixture.AddUnit("data", WorkStepKind::kSingles, 1, 1).spec.data_rack = RackId("r1");
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(plan.starts[0].places[0].minion == MinionId("m2") ||
            plan.starts[0].places[0].minion == MinionId("m3"));
}

Test(task_planner, label_and_service_are_kept_to) {
  PlannerFixture fixture;
  fixture.snapshot.minions[3].labels.emplace_back("fast");
  fixture.AddUnit("label", WorkStepKind::kSingles, 1, 1).spec.required_label = "fast";
  fixture.AddUnit("service", WorkStepKind::kSingles, 1, 1).service = ServiceId("other");
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(MinionsOf(plan.starts[0]) == std::set<std::string>{"m3"});
}

Test(task_planner, tasks_are_spread_as_their_step_asks) {
  PlannerFixture fixture;
  PlanUnit& unit = fixture.AddUnit("spread", WorkStepKind::kSingles, 8, 1);
  unit.spec.most_per_worker = 2;
  unit.present[MinionId("m0")] = 1;
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts[0].places.size(), 7);
  cr_assert_eq(
      std::count_if(plan.starts[0].places.begin(), plan.starts[0].places.end(),
                    [](const PlanTaskPlace& place) { return place.minion == MinionId("m0"); }),
      1);
}

Test(task_planner, tight_minion_is_filled_first) {
  PlannerFixture fixture;
  fixture.snapshot.minions[2].free.accelerators = 3;
  fixture.AddUnit("small", WorkStepKind::kSingles, 1, 2);
  cr_assert(MinionsOf(fixture.Run().starts[0]) == std::set<std::string>{"m2"});
}

Test(task_planner, slow_minion_and_one_that_failed_come_last) {
  PlannerFixture fixture;
  fixture.snapshot.minions[0].speed = 0.2;
  fixture.AddUnit("job", WorkStepKind::kSingles, 2, 8).failed_on = {MinionId("m1")};
  cr_assert(MinionsOf(fixture.Run().starts[0]) == (std::set<std::string>{"m2", "m3"}));
}

Test(task_planner, guaranteed_gang_that_has_waited_stops_borrowers_of_its_priority) {
  PlannerFixture fixture;
  for (std::size_t minion = 0; minion < 4; ++minion) {
    fixture.Fill(minion, 1, "borrower-" + std::to_string(minion));
    fixture.snapshot.victims.back().priority = Priority(0);
    fixture.snapshot.victims.back().is_borrower = true;
  }
  PlanUnit& unit = fixture.AddUnit("claim", WorkStepKind::kGang, 2, 8);
  unit.priority = Priority(0);
  unit.is_guaranteed = true;
  cr_assert(fixture.Run().stops.empty());
  unit.may_stop_borrowers = true;
  cr_assert_eq(fixture.Run().stops.size(), 2);
}

Test(task_planner, borrowers_are_left_alone_where_lower_priorities_suffice) {
  PlannerFixture fixture;
  for (std::size_t minion = 0; minion < 4; ++minion) {
    fixture.Fill(minion, minion < 2 ? 1 : 100, "job-" + std::to_string(minion));
    fixture.snapshot.victims.back().is_borrower = minion < 2;
    fixture.snapshot.victims.back().priority = Priority(minion < 2 ? 0 : 2);
  }
  PlanUnit& unit = fixture.AddUnit("claim", WorkStepKind::kGang, 2, 8);
  unit.priority = Priority(0);
  unit.is_guaranteed = true;
  unit.may_stop_borrowers = true;
  for (const PlannedStop& stop : fixture.Run().stops) {
    cr_assert(stop.job == JobId("job-2") || stop.job == JobId("job-3"));
  }
}

Test(task_planner, guaranteed_gang_stops_the_cheapest) {
  PlannerFixture fixture;
  fixture.Fill(0, 100, "dear");
  fixture.Fill(1, 1, "cheap");
  fixture.Fill(2, 2, "cheap-too");
  fixture.Fill(3, 50, "dear-too");
  fixture.AddUnit("claim", WorkStepKind::kGang, 2, 8).is_guaranteed = true;
  const Plan plan = fixture.Run();
  cr_assert(plan.starts.empty());
  cr_assert_eq(plan.stops.size(), 2);
  cr_assert(plan.stops[0].job == JobId("cheap"));
  cr_assert(plan.stops[1].job == JobId("cheap-too"));
}

Test(task_planner, room_that_is_being_freed_is_not_freed_twice) {
  PlannerFixture fixture;
  fixture.Fill(2, 1, "a");
  fixture.Fill(3, 1, "b");
  for (const std::size_t minion : {0UL, 1UL}) {
    fixture.snapshot.minions[minion].free = Resources{};
    fixture.snapshot.minions[minion].being_freed = kCapacity;
  }
  fixture.AddUnit("claim", WorkStepKind::kGang, 2, 8).is_guaranteed = true;
  const Plan plan = fixture.Run();
  cr_assert(plan.starts.empty());
  cr_assert(plan.stops.empty());
}

Test(task_planner, room_that_a_claim_waits_for_goes_to_nobody_else) {
  PlannerFixture fixture;
  fixture.Fill(1, 1, "a");
  fixture.Fill(2, 1, "b");
  fixture.Fill(3, 1, "c");
  fixture.AddUnit("claim", WorkStepKind::kGang, 4, 8).is_guaranteed = true;
  fixture.AddUnit("other", WorkStepKind::kSingles, 1, 8);
  const Plan plan = fixture.Run();
  cr_assert(plan.starts.empty());
  cr_assert_eq(plan.stops.size(), 3);
}

Test(task_planner, equal_priority_is_not_stopped) {
  PlannerFixture fixture;
  fixture.Fill(0, 1, "a");
  fixture.snapshot.victims[0].priority = Priority(0);
  for (std::size_t minion = 1; minion < 4; ++minion) {
    fixture.snapshot.minions[minion].free = Resources{};
  }
  PlanUnit& unit = fixture.AddUnit("claim", WorkStepKind::kSingles, 1, 8);
  unit.is_guaranteed = true;
  unit.priority = Priority(0);
  cr_assert(fixture.Run().stops.empty());
}

Test(task_planner, urgent_before_patient_and_late_last) {
  PlannerFixture fixture;
  fixture.AddUnit("late", WorkStepKind::kGang, 4, 8).slack = Milliseconds(-10);
  fixture.AddUnit("patient", WorkStepKind::kGang, 4, 8).slack = Milliseconds(9'000);
  fixture.AddUnit("urgent", WorkStepKind::kGang, 4, 8).slack = Milliseconds(100);
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(plan.starts[0].job == JobId("urgent"));
}

}  // namespace papayalift
