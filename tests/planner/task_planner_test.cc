#include "libraries/planner/task_planner.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>

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

  PendingStep& AddPendingStep(const std::string& job, WorkStepKind kind, int count,
                              std::int64_t accelerators) {
    PendingStep pending;
    pending.job = JobId(job);
    pending.service = ServiceId("pool");
    pending.spec.kind = kind;
    pending.spec.count = count;
    pending.spec.needs = Resources{500, 500, accelerators};
    pending.priority = Priority(1);
    pending.remote_penalty = Milliseconds(5'000);
    for (int index = 0; index < count; ++index) {
      pending.task_indexes.push_back(index);
    }
    snapshot.pending_steps.push_back(pending);
    return snapshot.pending_steps.back();
  }

  /// Adds a run that takes that many accelerators and ends after `remaining`.
  void RunOn(std::size_t minion, std::int64_t accelerators, Milliseconds remaining) {
    const Resources needs{100, 100, accelerators};
    snapshot.minions[minion].free -= needs;
    snapshot.minions[minion].runs.push_back(PlanRun{needs, remaining});
  }

  /// Fills a minion with a run of lower priority.
  void FillMinion(std::size_t minion, double unsaved_work, const std::string& job) {
    snapshot.minions[minion].free = Resources{};
    PlanVictim victim;
    victim.job = JobId(job);
    victim.priority = Priority(2);
    victim.needs_per_task = kCapacity;
    victim.placements = {PlannedPlacement{0, snapshot.minions[minion].id}};
    victim.unsaved_work = unsaved_work;
    snapshot.victims.push_back(victim);
  }

  Plan Run() const { return PlanTasks(snapshot); }

  PlanSnapshot snapshot;
};

std::set<std::string> MinionsOf(const PlannedStart& start) {
  std::set<std::string> minions;
  for (const PlannedPlacement& placement : start.placements) {
    minions.insert(placement.minion.text());
  }
  return minions;
}

}  // namespace

Test(task_planner, gang_that_does_not_fit_as_a_whole_starts_no_task) {
  PlannerFixture fixture;
  fixture.AddPendingStep("gang", WorkStepKind::kGang, 5, 8);
  cr_assert(fixture.Run().starts.empty());
}

Test(task_planner, gang_is_placed_beside_a_minion_with_less_room_than_its_runs_take) {
  PlannerFixture fixture;
  fixture.snapshot.minions[0].free = Resources{} - kCapacity;
  fixture.AddPendingStep("a", WorkStepKind::kGang, 3, 8);
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert_eq(MinionsOf(plan.starts[0]).size(), 3);
}

Test(task_planner, independent_tasks_start_up_to_the_free_capacity) {
  PlannerFixture fixture;
  fixture.AddPendingStep("singles", WorkStepKind::kIndependentTasks, 5, 8);
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert_eq(plan.starts[0].placements.size(), 4);
}

Test(task_planner, gang_that_prefers_one_rack_is_placed_on_one) {
  PlannerFixture fixture;
  fixture.snapshot.minions[0].free.accelerators = 2;
  fixture.AddPendingStep("gang", WorkStepKind::kGang, 2, 8).spec.prefers_one_rack = true;
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(MinionsOf(plan.starts[0]) == (std::set<std::string>{"m2", "m3"}));
}

Test(task_planner, gang_that_prefers_one_rack_waits_no_longer_than_its_limit) {
  PlannerFixture fixture;
  fixture.RunOn(0, 6, Milliseconds(1'000));
  fixture.RunOn(2, 6, Milliseconds(1'000));
  fixture.AddPendingStep("gang", WorkStepKind::kGang, 2, 8).spec.prefers_one_rack = true;
  cr_assert(fixture.Run().starts.empty());
  fixture.snapshot.pending_steps[0].held_for_rack = Milliseconds(5'000);
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

Test(task_planner, gang_waits_for_a_rack_only_if_it_is_free_before_the_wait_costs_more) {
  PlannerFixture fixture;
  fixture.RunOn(0, 6, Milliseconds(20'000));
  fixture.RunOn(2, 6, Milliseconds(4'999));
  PendingStep& gang = fixture.AddPendingStep("gang", WorkStepKind::kGang, 2, 8);
  gang.spec.prefers_one_rack = true;
  cr_assert(fixture.Run().starts.empty());
  gang.held_for_rack = Milliseconds(1);
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

Test(task_planner, step_with_room_twice_over_is_not_held_for_a_rack_that_is_free_soon) {
  PlannerFixture fixture;
  fixture.RunOn(0, 8, Milliseconds(3'000));
  fixture.RunOn(1, 8, Milliseconds(3'000));
  PendingStep& data = fixture.AddPendingStep("data", WorkStepKind::kIndependentTasks, 1, 8);
  data.spec.data_rack = RackId("r0");
  cr_assert(fixture.Run().starts.empty());
  data.held_for_rack = Milliseconds(1'500);
  cr_assert_eq(fixture.Run().starts.size(), 1);
  data.job_has_runs = true;
  cr_assert(fixture.Run().starts.empty());
  data.job_has_runs = false;
  fixture.RunOn(2, 8, Milliseconds(9'000));
  cr_assert(fixture.Run().starts.empty());
}

Test(task_planner, guaranteed_gang_runs_elsewhere_if_stops_on_its_rack_do_not_end) {
  PlannerFixture fixture;
  for (const std::size_t minion : {0UL, 1UL}) {
    fixture.snapshot.minions[minion].free = Resources{};
    fixture.snapshot.minions[minion].being_freed = kCapacity;
  }
  PendingStep& gang = fixture.AddPendingStep("gang", WorkStepKind::kGang, 1, 8);
  gang.is_guaranteed = true;
  gang.spec.data_rack = RackId("r0");
  const Plan plan = fixture.Run();
  cr_assert(plan.starts.empty());
  cr_assert_eq(WaitReasonText(plan.waits.at(0).reason), "rack");
  gang.held_for_rack = Milliseconds(1'500);
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

Test(task_planner, gang_larger_than_a_rack_does_not_wait_for_one) {
  PlannerFixture fixture;
  fixture.AddPendingStep("gang", WorkStepKind::kGang, 3, 8).spec.prefers_one_rack = true;
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

Test(task_planner, task_with_data_is_placed_on_its_data_rack) {
  PlannerFixture fixture;
  fixture.AddPendingStep("data", WorkStepKind::kIndependentTasks, 1, 1).spec.data_rack =
      RackId("r1");
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(plan.starts[0].placements[0].minion == MinionId("m2") ||
            plan.starts[0].placements[0].minion == MinionId("m3"));
}

Test(task_planner, label_and_service_restrict_placement) {
  PlannerFixture fixture;
  fixture.snapshot.minions[3].labels.emplace_back("fast");
  fixture.AddPendingStep("label", WorkStepKind::kIndependentTasks, 1, 1).spec.required_label =
      "fast";
  fixture.AddPendingStep("service", WorkStepKind::kIndependentTasks, 1, 1).service =
      ServiceId("other");
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(MinionsOf(plan.starts[0]) == std::set<std::string>{"m3"});
}

Test(task_planner, tasks_are_spread_by_the_limit_of_their_step) {
  PlannerFixture fixture;
  PendingStep& pending = fixture.AddPendingStep("spread", WorkStepKind::kIndependentTasks, 8, 1);
  pending.spec.max_tasks_per_worker = 2;
  pending.placed_on_minion[MinionId("m0")] = 1;
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts[0].placements.size(), 7);
  cr_assert_eq(std::count_if(plan.starts[0].placements.begin(), plan.starts[0].placements.end(),
                             [](const PlannedPlacement& placement) {
                               return placement.minion == MinionId("m0");
                             }),
               1);
}

Test(task_planner, minion_with_least_free_capacity_is_filled_first) {
  PlannerFixture fixture;
  fixture.snapshot.minions[2].free.accelerators = 3;
  fixture.AddPendingStep("small", WorkStepKind::kIndependentTasks, 1, 2);
  cr_assert(MinionsOf(fixture.Run().starts[0]) == std::set<std::string>{"m2"});
}

Test(task_planner, slow_or_failed_minion_is_used_last) {
  PlannerFixture fixture;
  fixture.snapshot.minions[0].speed = 0.2;
  fixture.AddPendingStep("job", WorkStepKind::kIndependentTasks, 2, 8).failed_on = {MinionId("m1")};
  cr_assert(MinionsOf(fixture.Run().starts[0]) == (std::set<std::string>{"m2", "m3"}));
}

Test(task_planner, guaranteed_gang_that_has_waited_stops_borrowers_of_its_priority) {
  PlannerFixture fixture;
  for (std::size_t minion = 0; minion < 4; ++minion) {
    fixture.FillMinion(minion, 1, "borrower-" + std::to_string(minion));
    fixture.snapshot.victims.back().priority = Priority(0);
    fixture.snapshot.victims.back().is_borrower = true;
  }
  PendingStep& pending = fixture.AddPendingStep("claim", WorkStepKind::kGang, 2, 8);
  pending.priority = Priority(0);
  pending.is_guaranteed = true;
  cr_assert(fixture.Run().stops.empty());
  pending.may_stop_borrowers = true;
  cr_assert_eq(fixture.Run().stops.size(), 2);
}

Test(task_planner, borrowers_are_not_stopped_when_lower_priorities_suffice) {
  PlannerFixture fixture;
  for (std::size_t minion = 0; minion < 4; ++minion) {
    fixture.FillMinion(minion, minion < 2 ? 1 : 100, "job-" + std::to_string(minion));
    fixture.snapshot.victims.back().is_borrower = minion < 2;
    fixture.snapshot.victims.back().priority = Priority(minion < 2 ? 0 : 2);
  }
  PendingStep& pending = fixture.AddPendingStep("claim", WorkStepKind::kGang, 2, 8);
  pending.priority = Priority(0);
  pending.is_guaranteed = true;
  pending.may_stop_borrowers = true;
  for (const PlannedStop& stop : fixture.Run().stops) {
    cr_assert(stop.job == JobId("job-2") || stop.job == JobId("job-3"));
  }
}

Test(task_planner, guaranteed_gang_stops_runs_with_least_unsaved_work) {
  PlannerFixture fixture;
  fixture.FillMinion(0, 100, "dear");
  fixture.FillMinion(1, 1, "cheap");
  fixture.FillMinion(2, 2, "cheap-too");
  fixture.FillMinion(3, 50, "dear-too");
  fixture.AddPendingStep("claim", WorkStepKind::kGang, 2, 8).is_guaranteed = true;
  const Plan plan = fixture.Run();
  cr_assert(plan.starts.empty());
  cr_assert_eq(plan.stops.size(), 2);
  cr_assert(plan.stops[0].job == JobId("cheap"));
  cr_assert(plan.stops[1].job == JobId("cheap-too"));
}

// The load: a burst of short jobs beyond the guarantee of their workspace, while the fleet is full
// of long runs of lower priority.
Test(task_planner, urgent_gang_beyond_its_guarantee_stops_lower_priorities_if_little_is_lost) {
  PlannerFixture fixture;
  fixture.FillMinion(0, 100, "dear");
  fixture.FillMinion(1, 10, "cheap");
  fixture.FillMinion(2, 20, "cheap-too");
  fixture.FillMinion(3, 100, "dear-too");
  PendingStep& urgent = fixture.AddPendingStep("urgent", WorkStepKind::kGang, 2, 8);
  urgent.max_lost_work = 31;
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.stops.size(), 2);
  cr_assert(plan.stops[0].job == JobId("cheap"));
  urgent.max_lost_work = 29;
  cr_assert(fixture.Run().stops.empty());
  urgent.max_lost_work = 0;
  cr_assert(fixture.Run().stops.empty());
}

Test(task_planner, urgent_gang_beyond_its_guarantee_stops_no_run_away_from_its_rack) {
  PlannerFixture fixture;
  for (const std::size_t minion : {0UL, 1UL, 2UL, 3UL}) {
    fixture.FillMinion(minion, minion < 2 ? 100 : 1, "victim-" + std::to_string(minion));
  }
  PendingStep& urgent = fixture.AddPendingStep("urgent", WorkStepKind::kGang, 2, 8);
  urgent.max_lost_work = 50;
  urgent.spec.data_rack = RackId("r0");
  cr_assert(fixture.Run().stops.empty());
  urgent.is_guaranteed = true;
  cr_assert_eq(fixture.Run().stops.size(), 2);
}

Test(task_planner, capacity_being_freed_is_not_reclaimed_again) {
  PlannerFixture fixture;
  fixture.FillMinion(2, 1, "a");
  fixture.FillMinion(3, 1, "b");
  for (const std::size_t minion : {0UL, 1UL}) {
    fixture.snapshot.minions[minion].free = Resources{};
    fixture.snapshot.minions[minion].being_freed = kCapacity;
  }
  fixture.AddPendingStep("claim", WorkStepKind::kGang, 2, 8).is_guaranteed = true;
  const Plan plan = fixture.Run();
  cr_assert(plan.starts.empty());
  cr_assert(plan.stops.empty());
}

Test(task_planner, capacity_reserved_for_a_guarantee_is_not_given_to_others) {
  PlannerFixture fixture;
  fixture.FillMinion(1, 1, "a");
  fixture.FillMinion(2, 1, "b");
  fixture.FillMinion(3, 1, "c");
  fixture.AddPendingStep("claim", WorkStepKind::kGang, 4, 8).is_guaranteed = true;
  fixture.AddPendingStep("other", WorkStepKind::kIndependentTasks, 1, 8);
  const Plan plan = fixture.Run();
  cr_assert(plan.starts.empty());
  cr_assert_eq(plan.stops.size(), 3);
}

Test(task_planner, equal_priority_is_not_stopped) {
  PlannerFixture fixture;
  fixture.FillMinion(0, 1, "a");
  fixture.snapshot.victims[0].priority = Priority(0);
  for (std::size_t minion = 1; minion < 4; ++minion) {
    fixture.snapshot.minions[minion].free = Resources{};
  }
  PendingStep& pending = fixture.AddPendingStep("claim", WorkStepKind::kIndependentTasks, 1, 8);
  pending.is_guaranteed = true;
  pending.priority = Priority(0);
  cr_assert(fixture.Run().stops.empty());
}

Test(task_planner, steps_with_least_slack_start_first_and_late_steps_last) {
  PlannerFixture fixture;
  fixture.AddPendingStep("late", WorkStepKind::kGang, 4, 8).slack = Milliseconds(-10);
  fixture.AddPendingStep("patient", WorkStepKind::kGang, 4, 8).slack = Milliseconds(9'000);
  fixture.AddPendingStep("urgent", WorkStepKind::kGang, 4, 8).slack = Milliseconds(100);
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(plan.starts[0].job == JobId("urgent"));
}

namespace {

/// The fixture with one suspected task, which waits for a minion without runs.
struct IsolationFixture : PlannerFixture {
  IsolationFixture() {
    for (PlanMinion& minion : snapshot.minions) {
      minion.is_idle = true;
    }
    PendingStep& pending = AddPendingStep("suspect", WorkStepKind::kIndependentTasks, 1, 1);
    pending.isolated = {0};
    pending.max_isolation_wait = Milliseconds(20'000);
    pending.max_isolation_wait_with_spare_capacity = Milliseconds(2'000);
  }

  void Use(std::size_t minion, std::int64_t accelerators) {
    snapshot.minions[minion].is_idle = false;
    snapshot.minions[minion].free.accelerators -= accelerators;
  }
};

const PlannedStart* StartOf(const Plan& plan, const std::string& job) {
  for (const PlannedStart& start : plan.starts) {
    if (start.job == JobId(job)) {
      return &start;
    }
  }
  return nullptr;
}

}  // namespace

Test(task_planner, isolated_task_starts_on_an_idle_minion_and_no_other_task_joins_it) {
  IsolationFixture fixture;
  for (const std::size_t minion : {0, 1, 2}) {
    fixture.Use(minion, 4);
  }
  fixture.AddPendingStep("other", WorkStepKind::kIndependentTasks, 20, 1).priority = Priority(2);
  const Plan plan = fixture.Run();
  cr_assert(StartOf(plan, "suspect")->placements[0].minion == MinionId("m3"));
  cr_assert_eq(StartOf(plan, "other")->placements.size(), 12);
  cr_assert_not(MinionsOf(*StartOf(plan, "other")).contains("m3"));
}

Test(task_planner, isolated_task_without_an_idle_minion_waits_and_keeps_the_emptiest_free) {
  IsolationFixture fixture;
  for (const std::size_t minion : {0, 1, 2, 3}) {
    fixture.Use(minion, minion == 2 ? 1 : 6);
  }
  fixture.AddPendingStep("other", WorkStepKind::kIndependentTasks, 20, 1).priority = Priority(2);
  const Plan plan = fixture.Run();
  cr_assert(StartOf(plan, "suspect") == nullptr);
  cr_assert_eq(StartOf(plan, "other")->placements.size(), 6);
  cr_assert_not(MinionsOf(*StartOf(plan, "other")).contains("m2"));
}

// The minion kept free for the suspect did not count as room, and the hold had no end.
Test(task_planner, step_with_room_twice_over_is_not_held_for_its_rack_beside_a_suspect) {
  IsolationFixture fixture;
  fixture.RunOn(0, 8, Milliseconds(3'000));
  fixture.RunOn(1, 8, Milliseconds(3'000));
  fixture.snapshot.pending_steps[0].crashed = {MinionId("m2"), MinionId("m3")};
  PendingStep& data = fixture.AddPendingStep("data", WorkStepKind::kIndependentTasks, 1, 8);
  data.priority = Priority(2);
  data.spec.data_rack = RackId("r0");
  cr_assert(fixture.Run().starts.empty());
  data.held_for_rack = Milliseconds(1'500);
  const Plan plan = fixture.Run();
  cr_assert(StartOf(plan, "suspect") == nullptr);
  cr_assert_not_null(StartOf(plan, "data"));
}

// Isolated tasks that came first took the minions that a guaranteed job had cleared by stopping
// them.
Test(task_planner, guaranteed_gang_gets_idle_minions_before_isolated_tasks) {
  IsolationFixture fixture;
  for (const std::size_t minion : {0, 1, 2}) {
    fixture.Use(minion, 8);
  }
  PendingStep& gang = fixture.AddPendingStep("guaranteed", WorkStepKind::kGang, 1, 8);
  gang.priority = kGuaranteedPriority;
  gang.is_guaranteed = true;
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert(plan.starts[0].job == JobId("guaranteed"));
}

Test(task_planner, isolated_task_that_has_waited_starts_beside_few_others) {
  for (const std::int64_t used : {1, 6}) {
    IsolationFixture fixture;
    for (const std::size_t minion : {0, 1, 2, 3}) {
      fixture.Use(minion, minion == 2 ? 1 : used);
    }
    PendingStep& suspect = fixture.snapshot.pending_steps[0];
    const bool has_spare_capacity = used == 1;
    const Milliseconds limit = has_spare_capacity ? suspect.max_isolation_wait_with_spare_capacity
                                                  : suspect.max_isolation_wait;
    suspect.waited = limit - Milliseconds(1);
    cr_assert(fixture.Run().starts.empty());
    suspect.waited = limit;
    const Plan plan = fixture.Run();
    cr_assert_eq(plan.starts.size(), 1);
    cr_assert(has_spare_capacity || plan.starts[0].placements[0].minion == MinionId("m2"));
  }
}

// With another service full, a suspect waited for 20 s although its own was nearly empty.
Test(task_planner, isolated_task_does_not_wait_longer_because_another_service_is_full) {
  IsolationFixture fixture;
  for (const std::size_t minion : {0, 1, 2, 3}) {
    fixture.Use(minion, 1);
  }
  for (int number = 0; number < 8; ++number) {
    PlanMinion other;
    other.id = MinionId("other-" + std::to_string(number));
    other.service = ServiceId("other");
    other.rack = RackId("r9");
    other.capacity = kCapacity;
    fixture.snapshot.minions.push_back(other);
  }
  PendingStep& suspect = fixture.snapshot.pending_steps[0];
  suspect.waited = suspect.max_isolation_wait_with_spare_capacity;
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

// The rule's measure is cores, with an accelerator as eight of them.
Test(task_planner, isolated_task_does_not_wait_longer_because_memory_is_taken) {
  IsolationFixture fixture;
  for (const std::size_t minion : {0, 1, 2, 3}) {
    fixture.Use(minion, 1);
    fixture.snapshot.minions[minion].free.memory_mb = 1'000;
  }
  PendingStep& suspect = fixture.snapshot.pending_steps[0];
  suspect.waited = suspect.max_isolation_wait_with_spare_capacity;
  cr_assert_eq(fixture.Run().starts.size(), 1);
}

Test(task_planner, gang_with_isolated_members_gives_each_of_them_a_minion) {
  IsolationFixture fixture;
  fixture.snapshot.pending_steps.clear();
  PendingStep& gang = fixture.AddPendingStep("gang", WorkStepKind::kGang, 6, 1);
  gang.isolated = {1, 4};
  gang.max_isolation_wait = Milliseconds(20'000);
  const Plan plan = fixture.Run();
  cr_assert_eq(plan.starts.size(), 1);
  std::map<MinionId, std::set<int>> tasks;
  for (const PlannedPlacement& placement : plan.starts[0].placements) {
    tasks[placement.minion].insert(placement.index);
  }
  for (const auto& [minion, indexes] : tasks) {
    const bool has_isolated = indexes.contains(1) || indexes.contains(4);
    cr_assert(!has_isolated || indexes.size() == 1);
  }
  cr_assert_eq(plan.starts[0].placements.size(), 6);
}

Test(task_planner, limit_of_tasks_on_a_minion_counts_isolated_ones) {
  IsolationFixture fixture;
  fixture.snapshot.pending_steps.clear();
  for (const std::size_t minion : {0, 1, 2, 3}) {
    fixture.Use(minion, 1);
  }
  PendingStep& step = fixture.AddPendingStep("job", WorkStepKind::kIndependentTasks, 5, 1);
  step.spec.max_tasks_per_worker = 1;
  step.isolated = {0};
  step.waited = step.max_isolation_wait_with_spare_capacity;
  const Plan plan = fixture.Run();
  std::map<MinionId, int> counts;
  for (const PlannedStart& start : plan.starts) {
    for (const PlannedPlacement& placement : start.placements) {
      cr_assert_eq(++counts[placement.minion], 1);
    }
  }
  cr_assert_eq(counts.size(), 4);
}

}  // namespace papayalift
