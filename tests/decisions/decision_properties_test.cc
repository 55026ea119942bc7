/// What every decision of every policy keeps to, over generated fleets and orders of events.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

#include "decisions/small_fleet.h"
#include "libraries/decisions/decide.h"

namespace papayalift {

namespace {

constexpr int kEventsPerFleet = 40;

Policy DrawPolicy() { return *FindPolicy(*rc::gen::elementOf(PolicyNames())); }

Policy Papaya() { return *FindPolicy("papaya"); }

/// Draws a fleet, lets events happen, and calls `check(fleet, decision)` before each is applied.
template <typename Check>
void ForEachDecision(const Policy& policy, const Check& check) {
  SmallFleet fleet = SmallFleet::Generate();
  for (int step = 0; step < kEventsPerFleet; ++step) {
    fleet.Happen();
    const Decision decision = Decide(fleet.snapshot(), policy);
    check(fleet, decision);
    fleet.Apply(decision);
  }
}

const WaitingJob& JobOf(const StartDecision& start, const Snapshot& snapshot) {
  return *std::find_if(snapshot.waiting.begin(), snapshot.waiting.end(),
                       [&start](const WaitingJob& job) { return job.job == start.job; });
}

const WorkerView& WorkerOf(const TaskPlacement& task, const Snapshot& snapshot) {
  return *std::find_if(snapshot.workers.begin(), snapshot.workers.end(),
                       [&task](const WorkerView& worker) { return worker.id == task.worker; });
}

void RequireFree(const std::vector<TaskPlacement>& tasks,
                 std::map<WorkerId, AcceleratorSet>& held) {
  for (const TaskPlacement& task : tasks) {
    RC_ASSERT(!held[task.worker].Overlaps(task.accelerators));
    held[task.worker] = held[task.worker].Union(task.accelerators);
  }
}

}  // namespace

Test(decide, any_policy_never_exceeds_capacity) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const SmallFleet& fleet, const Decision& decision) {
      std::map<WorkerId, AcceleratorSet> held;
      for (const GangView& gang : fleet.snapshot().gangs) {
        RequireFree(gang.tasks, held);
      }
      for (const StartDecision& start : decision.starts) {
        RequireFree(start.tasks, held);
        for (const TaskPlacement& task : start.tasks) {
          const AcceleratorCount size = WorkerOf(task, fleet.snapshot()).accelerators;
          RC_ASSERT(AcceleratorSet::First(size).Contains(task.accelerators));
        }
      }
    });
  }));
}

Test(decide, any_policy_starts_gangs_whole_adjacent_and_in_one_zone_in_service) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const SmallFleet& fleet, const Decision& decision) {
      for (const StartDecision& start : decision.starts) {
        const Shape shape = JobOf(start, fleet.snapshot()).shape;
        RC_ASSERT(static_cast<int>(start.tasks.size()) == shape.tasks.value());
        RC_ASSERT(fleet.snapshot().zones.StateOf(start.zone) == ZoneState::kIn);
        for (const TaskPlacement& task : start.tasks) {
          RC_ASSERT(WorkerOf(task, fleet.snapshot()).zone == start.zone);
          RC_ASSERT(task.accelerators.Count() == shape.accelerators_per_task);
          RC_ASSERT(task.accelerators.LongestRun() == shape.accelerators_per_task);
        }
      }
    });
  }));
}

Test(decide, any_policy_starts_each_waiting_job_or_says_why_not) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const SmallFleet& fleet, const Decision& decision) {
      std::set<JobId> answered;
      for (const StartDecision& start : decision.starts) {
        RC_ASSERT(answered.insert(start.job).second);
      }
      for (const WaitDecision& wait : decision.waits) {
        RC_ASSERT(answered.insert(wait.job).second);
        RC_ASSERT(!wait.reason.empty());
      }
      RC_ASSERT(answered.size() == fleet.snapshot().waiting.size());
    });
  }));
}

Test(decide, any_policy_same_snapshot_gives_same_decision) {
  cr_assert(rc::check([] {
    const Policy policy = DrawPolicy();
    ForEachDecision(policy, [&policy](const SmallFleet& fleet, const Decision& decision) {
      const Snapshot copy = fleet.snapshot();
      RC_ASSERT(TextOf(decision) == TextOf(Decide(copy, policy)));
    });
  }));
}

Test(decide, any_policy_zone_out_stops_every_gang_there) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const SmallFleet& fleet, const Decision& decision) {
      std::set<JobId> stopped;
      for (const StopDecision& stop : decision.stops) {
        RC_ASSERT(stopped.insert(stop.job).second);
      }
      for (const GangView& gang : fleet.snapshot().gangs) {
        const bool must_stop = fleet.snapshot().zones.StateOf(gang.zone) == ZoneState::kOut &&
                               gang.phase == PlacementPhase::kCommitted;
        RC_ASSERT(!must_stop || stopped.contains(gang.job));
      }
    });
  }));
}

Test(decide, papaya_every_step_keeps_unused_guarantees_reclaimable) {
  cr_assert(rc::check([] {
    const Policy policy = Papaya();
    SmallFleet fleet = SmallFleet::Generate();
    for (int step = 0; step < kEventsPerFleet; ++step) {
      const bool before = fleet.IsReclaimable();
      const FleetEvent event = fleet.Happen();
      const bool after = fleet.IsReclaimable();
      RC_ASSERT(after || !before || event == FleetEvent::kZoneChange);
      fleet.Apply(Decide(fleet.snapshot(), policy));
      RC_ASSERT(!after || fleet.IsReclaimable());
    }
  }));
}

Test(decide, papaya_reclaimable_guarantee_is_never_refused) {
  cr_assert(rc::check([] {
    ForEachDecision(Papaya(), [](const SmallFleet& fleet, const Decision& decision) {
      for (const WaitDecision& wait : decision.waits) {
        RC_ASSERT(wait.cause != WaitCause::kGuarantees || !fleet.IsReclaimable());
      }
    });
  }));
}

Test(decide, papaya_reclaim_stops_only_borrowed_gangs) {
  cr_assert(rc::check([] {
    ForEachDecision(Papaya(), [](const SmallFleet& fleet, const Decision& decision) {
      for (const StopDecision& stop : decision.stops) {
        const GangView* const gang = fleet.FindGang(stop.job);
        RC_ASSERT(gang->phase != PlacementPhase::kStopping);
        RC_ASSERT(stop.cause != StopCause::kReclaim || gang->claim == Claim::kBorrowed);
        RC_ASSERT(stop.cause != StopCause::kReclaim || !stop.for_job.empty());
      }
    });
  }));
}

Test(decide, papaya_reclaimed_accelerators_go_to_the_reclaimer) {
  cr_assert(rc::check([] {
    const Policy policy = Papaya();
    SmallFleet fleet = SmallFleet::Generate();
    for (int step = 0; step < kEventsPerFleet; ++step) {
      fleet.Happen();
      const Decision decision = Decide(fleet.snapshot(), policy);
      fleet.Apply(decision);
      SmallFleet later = fleet;
      later.SubmitBorrowing(Shape{TaskCount(1), AcceleratorCount(1)});
      while (later.FinishStop()) {
        later.Apply(Decide(later.snapshot(), policy));
        later.SubmitBorrowing(Shape{TaskCount(1), AcceleratorCount(1)});
      }
      for (const WaitDecision& wait : decision.waits) {
        RC_ASSERT(wait.cause != WaitCause::kReclaiming || later.IsPlaced(wait.job));
      }
    }
  }));
}

}  // namespace papayalift
