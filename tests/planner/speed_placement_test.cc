#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

#include "libraries/planner/task_planner.h"

namespace papayalift {

namespace {

constexpr Resources kCapacity{8'000, 8'000, 8};
constexpr double kSlow = 0.7;
constexpr double kFast = 1.7;

/// Six free minions on two racks. The last of each rack is fast.
struct SpeedFixture {
  SpeedFixture() {
    for (int number = 0; number < 6; ++number) {
      PlanMinion& minion = snapshot.minions.emplace_back();
      minion.id = MinionId("m" + std::to_string(number));
      minion.service = ServiceId("pool");
      minion.rack = RackId("r" + std::to_string(number / 3));
      minion.capacity = kCapacity;
      minion.free = kCapacity;
      minion.is_fast = number % 3 == 2;
      minion.speed = minion.is_fast ? kFast : kSlow;
    }
  }

  PendingStep& Add(WorkStepKind kind, int count, std::int64_t accelerators, double min_speed) {
    PendingStep& pending = snapshot.pending_steps.emplace_back();
    pending.job = JobId("job-" + std::to_string(snapshot.pending_steps.size()));
    pending.service = ServiceId("pool");
    pending.spec.kind = kind;
    pending.spec.count = count;
    pending.spec.needs = Resources{500, 500, accelerators};
    pending.priority = Priority(1);
    pending.min_speed = min_speed;
    for (int index = 0; index < count; ++index) {
      pending.task_indexes.push_back(index);
    }
    return pending;
  }

  void Fill(std::size_t minion) { snapshot.minions[minion].free = Resources{}; }

  std::set<std::string> Minions() const {
    std::set<std::string> minions;
    for (const PlannedStart& start : PlanTasks(snapshot).starts) {
      for (const PlannedPlacement& placement : start.placements) {
        minions.insert(placement.minion.text());
      }
    }
    return minions;
  }

  PlanSnapshot snapshot;
};

using Names = std::set<std::string>;

}  // namespace

Test(speed_placement, work_that_can_wait_leaves_fast_minions_free) {
  SpeedFixture fixture;
  fixture.snapshot.minions[2].free.accelerators = 2;
  fixture.Add(WorkStepKind::kIndependentTasks, 4, 8, 0);
  cr_assert(fixture.Minions() == (Names{"m0", "m1", "m3", "m4"}));
}

Test(speed_placement, work_that_can_wait_takes_fast_minions_if_others_are_full) {
  SpeedFixture fixture;
  fixture.Add(WorkStepKind::kIndependentTasks, 5, 8, 0);
  cr_assert_eq(fixture.Minions().size(), 5);
}

// Guards against a fleet of which only the few minions that work is packed on are ever measured.
Test(speed_placement, half_of_the_tasks_measure_minions_of_unknown_speed) {
  SpeedFixture fixture;
  for (const std::size_t unknown : {1, 3, 4}) {
    fixture.snapshot.minions[unknown].needs_measurement = true;
  }
  fixture.Add(WorkStepKind::kIndependentTasks, 4, 1, 0);
  cr_assert(fixture.Minions() == (Names{"m0", "m1", "m3"}));
}

Test(speed_placement, urgent_gang_trusts_no_minion_of_unknown_speed) {
  SpeedFixture fixture;
  for (const std::size_t unknown : {0, 1, 3, 4}) {
    fixture.snapshot.minions[unknown].needs_measurement = true;
    fixture.snapshot.minions[unknown].speed = 1;
  }
  fixture.Add(WorkStepKind::kGang, 4, 4, 0.8);
  cr_assert(fixture.Minions() == (Names{"m2", "m5"}));
}

Test(speed_placement, urgent_gang_gets_fast_minions_only) {
  SpeedFixture fixture;
  fixture.Add(WorkStepKind::kGang, 4, 4, 0.8);
  cr_assert(fixture.Minions() == (Names{"m2", "m5"}));
  cr_assert(PlanTasks(fixture.snapshot).starts[0].reason.find("fast enough") != std::string::npos);
}

Test(speed_placement, fullest_fast_minion_is_taken_first) {
  SpeedFixture fixture;
  fixture.snapshot.minions[5].free.accelerators = 4;
  fixture.Add(WorkStepKind::kGang, 1, 4, 0.8);
  cr_assert(fixture.Minions() == (Names{"m5"}));
}

// A gang is as slow as its slowest member, so fast minions beside slow ones would be wasted.
Test(speed_placement, gang_that_does_not_fit_fast_minions_takes_slow_ones) {
  SpeedFixture fixture;
  fixture.Add(WorkStepKind::kGang, 4, 8, 0.8);
  cr_assert(fixture.Minions() == (Names{"m0", "m1", "m3", "m4"}));
}

Test(speed_placement, gang_starts_on_all_minions_if_it_fits_no_other_way) {
  SpeedFixture fixture;
  fixture.Add(WorkStepKind::kGang, 6, 8, 0.8);
  cr_assert_eq(fixture.Minions().size(), 6);
}

Test(speed_placement, gang_on_one_rack_gets_the_rack_with_room_on_fast_minions) {
  SpeedFixture fixture;
  fixture.snapshot.minions[2].free.accelerators = 4;
  fixture.Add(WorkStepKind::kGang, 2, 4, 0.8).spec.prefers_one_rack = true;
  cr_assert(fixture.Minions() == (Names{"m5"}));
}

Test(speed_placement, gang_on_one_rack_that_can_wait_leaves_fast_minions_free) {
  SpeedFixture fixture;
  fixture.Fill(0);
  fixture.Add(WorkStepKind::kGang, 2, 8, 0).spec.prefers_one_rack = true;
  cr_assert(fixture.Minions() == (Names{"m3", "m4"}));
}

Test(speed_placement, runs_on_slow_minions_are_not_stopped_for_a_step_that_needs_fast_ones) {
  SpeedFixture fixture;
  for (std::size_t minion = 0; minion < 6; ++minion) {
    fixture.Fill(minion);
    PlanVictim& victim = fixture.snapshot.victims.emplace_back();
    victim.job = JobId("victim-" + std::to_string(minion));
    victim.priority = Priority(2);
    victim.needs_per_task = kCapacity;
    victim.placements = {PlannedPlacement{0, fixture.snapshot.minions[minion].id}};
    victim.unsaved_work = fixture.snapshot.minions[minion].is_fast ? 5 : 1;
  }
  PendingStep& pending = fixture.Add(WorkStepKind::kGang, 2, 8, 0.8);
  pending.priority = Priority(0);
  pending.is_guaranteed = true;
  std::set<std::string> stopped;
  for (const PlannedStop& stop : PlanTasks(fixture.snapshot).stops) {
    stopped.insert(stop.job.text());
  }
  cr_assert(stopped == (Names{"victim-2", "victim-5"}));
}

}  // namespace papayalift
