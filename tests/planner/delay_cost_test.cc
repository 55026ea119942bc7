#include "libraries/planner/delay_cost.h"

#include <criterion/criterion.h>

#include <deque>

#include "libraries/planner/task_planner.h"

namespace papayalift {

namespace {

constexpr Resources kWhole{8'000, 8'000, 8};

ReclaimFacts Guaranteed(Milliseconds age, Milliseconds slack) {
  return ReclaimFacts{true, kGuaranteedPriority, age, true, slack, 100};
}

ReclaimFacts BeyondGuarantee(Milliseconds slack) {
  return ReclaimFacts{false, kGuaranteedPriority, Milliseconds(100), true, slack, 100};
}

Milliseconds WaitOf(const ReclaimFacts& facts) {
  return LimitReclaim(facts, DelayPolicy::kByCost).max_wait_for_ends;
}

/// Two full minions, each with one run that shows when it ends, and a step that needs one of them.
struct FullMinions {
  FullMinions() {
    for (int number = 0; number < 2; ++number) {
      PlanMinion& minion = snapshot.minions.emplace_back();
      minion.id = MinionId("m" + std::to_string(number));
      minion.service = ServiceId("pool");
      minion.capacity = kWhole;
    }
    PendingStep& claim = snapshot.pending_steps.emplace_back();
    claim.job = JobId("claim");
    claim.service = ServiceId("pool");
    claim.spec.needs = kWhole;
    claim.spec.count = 1;
    claim.task_indexes = {0};
    claim.priority = kGuaranteedPriority;
    claim.is_guaranteed = true;
    claim.max_wait_for_ends = Milliseconds(500);
  }

  PlanVictim& AddRun(std::size_t minion, const std::string& job, Milliseconds remaining,
                     Resources needs = kWhole) {
    PlanMinion& host = snapshot.minions[minion];
    host.runs.push_back(PlanRun{needs, remaining, true});
    PlanVictim& victim = snapshot.victims.emplace_back();
    victim.job = JobId(job);
    victim.priority = Priority(2);
    victim.needs_per_task = needs;
    victim.placements = {PlannedPlacement{0, host.id}};
    victim.unsaved_work = 10;
    victim.first_end = remaining;
    victim.last_end = remaining;
    return victim;
  }

  PlanSnapshot snapshot;
};

}  // namespace

Test(delay_cost, guaranteed_step_waits_for_ends_only_until_the_last_decision) {
  cr_assert_gt(WaitOf(Guaranteed(Milliseconds(0), Milliseconds(1'400))).count(), 0);
  cr_assert_eq(WaitOf(Guaranteed(kLastReclaimDecision, Milliseconds(60'000))).count(), 0);
  for (int age = 0; age <= 3'000; age += 50) {
    const Milliseconds wait = WaitOf(Guaranteed(Milliseconds(age), Milliseconds(60'000)));
    cr_assert_leq(wait.count(), std::max(0, 1'200 - age));
  }
}

// A new leader does not know how long the job has waited under the former one.
Test(delay_cost, guaranteed_step_from_before_the_term_waits_for_no_ends) {
  ReclaimFacts facts = Guaranteed(Milliseconds(0), Milliseconds(60'000));
  facts.is_age_certain = false;
  cr_assert_eq(WaitOf(facts).count(), 0);
}

Test(delay_cost, step_beyond_its_guarantee_stops_others_only_if_it_can_be_on_time) {
  const auto limits = [](Milliseconds slack) {
    return LimitReclaim(BeyondGuarantee(slack), DelayPolicy::kByCost);
  };
  cr_assert_eq(limits(Milliseconds(-1)).max_lost_work, 0);
  cr_assert(limits(Milliseconds(600)).may_only_await_stops);
  cr_assert(!limits(Milliseconds(800)).may_only_await_stops);
  cr_assert_gt(limits(Milliseconds(800)).max_lost_work, 0);
}

Test(delay_cost, run_that_was_stopped_before_or_would_turn_late_is_dearer) {
  PlanVictim victim;
  victim.unsaved_work = 10;
  victim.work = 40;
  victim.slack = Milliseconds(500);
  victim.slack_if_stopped = Milliseconds(100);
  const double once = CostOfStop(victim, DelayPolicy::kByCost);
  cr_assert_eq(once, 10);
  victim.times_stopped = 1;
  cr_assert_gt(CostOfStop(victim, DelayPolicy::kByCost), once);
  victim.times_stopped = 0;
  victim.slack_if_stopped = Milliseconds(-100);
  cr_assert_gt(CostOfStop(victim, DelayPolicy::kByCost), once);
  cr_assert_eq(CostOfStop(victim, DelayPolicy::kBySlack), once);
}

/// Steps of one group, each of which needs a share of the service for a second.
struct SteppedGroup {
  PendingStep& Add(const std::string& job, double share, Milliseconds slack) {
    PendingStep& step = steps.emplace_back();
    step.job = JobId(job);
    step.spec.count = 1;
    step.spec.estimate = Milliseconds(1'000);
    step.task_indexes = {0};
    step.slack = slack;
    shares.push_back(share);
    return step;
  }

  std::string Order() const {
    std::vector<DelayCandidate> candidates;
    for (std::size_t number = 0; number < steps.size(); ++number) {
      candidates.push_back(DelayCandidate{&steps[number], shares[number]});
    }
    std::string order;
    for (const PendingStep* const step : PassOver(candidates, 1'000)) {
      order += step->job.text();
    }
    return order;
  }

  std::deque<PendingStep> steps;
  std::vector<double> shares;
};

// A large job took the room first, and several small ones were late with it.
Test(delay_cost, large_step_is_passed_over_where_small_ones_can_then_be_on_time) {
  SteppedGroup group;
  group.Add("L", 0.9, Milliseconds(500));
  group.Add("a", 0.2, Milliseconds(600));
  group.Add("b", 0.2, Milliseconds(700));
  cr_assert(group.Order() == "abL");
}

Test(delay_cost, steps_that_can_all_be_on_time_keep_their_order) {
  SteppedGroup group;
  group.Add("L", 0.4, Milliseconds(500));
  group.Add("a", 0.1, Milliseconds(600));
  group.Add("b", 0.1, Milliseconds(700));
  cr_assert(group.Order() == "Lab");
}

Test(delay_cost, late_step_that_is_worth_something_comes_before_worthless_ones) {
  SteppedGroup group;
  group.Add("w", 0.1, Milliseconds(-900)).worthless_slack = Milliseconds(-1);
  group.Add("l", 0.1, Milliseconds(-100)).worthless_slack = Milliseconds(800);
  group.Add("t", 0.1, Milliseconds(300));
  cr_assert(group.Order() == "tlw");
}

// A step that others were always preferred to waited without end.
Test(delay_cost, step_that_has_waited_long_is_first_now_and_then) {
  SteppedGroup group;
  PendingStep& worthless = group.Add("w", 0.1, Milliseconds(-90'000));
  worthless.worthless_slack = Milliseconds(-70'000);
  group.Add("t", 0.1, Milliseconds(300));
  int first = 0;
  for (int waited = 30'000; waited < 40'000; waited += 100) {
    worthless.waited = Milliseconds(waited);
    first += group.Order() == "wt" ? 1 : 0;
  }
  cr_assert_eq(first, 10);
}

// Runs that were about to end were stopped, which threw nearly all of their work away.
Test(delay_cost, guaranteed_step_waits_for_a_run_that_ends_soon) {
  FullMinions full;
  full.AddRun(0, "long", Milliseconds(5'000));
  full.AddRun(1, "ending", Milliseconds(300));
  const Plan waiting = PlanTasks(full.snapshot);
  cr_assert(waiting.stops.empty());
  cr_assert_eq(waiting.waits.size(), 1);
  full.snapshot.pending_steps[0].max_wait_for_ends = Milliseconds(0);
  cr_assert_eq(PlanTasks(full.snapshot).stops.size(), 1);
}

// Two steps counted on the room that one run leaves.
Test(delay_cost, room_of_a_run_that_ends_soon_is_promised_once) {
  FullMinions full;
  full.AddRun(0, "long", Milliseconds(5'000));
  full.AddRun(1, "ending", Milliseconds(300));
  full.snapshot.pending_steps.push_back(full.snapshot.pending_steps[0]);
  full.snapshot.pending_steps[1].job = JobId("second");
  const Plan plan = PlanTasks(full.snapshot);
  cr_assert_eq(plan.stops.size(), 1);
  cr_assert(plan.stops[0].job == JobId("long"));
}

// Cheap victims were stopped first and stayed among the chosen when a dearer one alone sufficed.
Test(delay_cost, victims_that_turn_out_to_be_needless_go_on) {
  FullMinions full;
  full.snapshot.minions[0].free = Resources{};
  full.AddRun(0, "small", Milliseconds(9'000), Resources{1'000, 1'000, 1}).unsaved_work = 1;
  full.AddRun(0, "large", Milliseconds(9'000), Resources{7'000, 7'000, 7}).unsaved_work = 10;
  full.snapshot.pending_steps[0].spec.needs = Resources{7'000, 7'000, 7};
  const Plan plan = PlanTasks(full.snapshot);
  cr_assert_eq(plan.stops.size(), 1);
  cr_assert(plan.stops[0].job == JobId("large"));
}

}  // namespace papayalift
