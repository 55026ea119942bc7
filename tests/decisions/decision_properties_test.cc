/// Properties of decisions, checked over generated fleets and sequences of events.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <set>

#include "decisions/random_fleet.h"
#include "libraries/decisions/decide.h"
#include "libraries/decisions/guarantee_tracker.h"

namespace papayalift {

namespace {

constexpr int kEventsPerFleet = 120;
/// Far more than the gangs that a fleet can hold: more stops mean that stops keep causing further
/// stops.
constexpr int kMaxStops = 200;

Policy DrawPolicy() { return *FindPolicy(*rc::gen::elementOf(PolicyNames())); }

Policy Papaya() { return *FindPolicy("papaya"); }

/// Generates a fleet, applies random events, and calls `check(fleet, decision)` before each
/// decision is applied.
template <typename Check>
void ForEachDecision(const Policy& policy, const Check& check) {
  RandomFleet fleet = RandomFleet::Generate();
  for (int step = 0; step < kEventsPerFleet; ++step) {
    fleet.ApplyRandomEvent();
    const Decision decision = Decide(fleet.snapshot(), policy);
    check(fleet, decision);
    fleet.ApplyDecision(decision);
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

void AssertFreeAndAllocate(const std::vector<TaskPlacement>& tasks,
                           std::map<WorkerId, AcceleratorSet>& held) {
  for (const TaskPlacement& task : tasks) {
    RC_ASSERT(!held[task.worker].Overlaps(task.accelerators));
    held[task.worker] = held[task.worker].Union(task.accelerators);
  }
}

}  // namespace

Test(decide, any_policy_never_exceeds_capacity) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const RandomFleet& fleet, const Decision& decision) {
      std::map<WorkerId, AcceleratorSet> held;
      for (const GangView& gang : fleet.snapshot().gangs) {
        AssertFreeAndAllocate(gang.tasks, held);
      }
      for (const StartDecision& start : decision.starts) {
        AssertFreeAndAllocate(start.tasks, held);
        for (const TaskPlacement& task : start.tasks) {
          const AcceleratorCount size = WorkerOf(task, fleet.snapshot()).accelerators;
          RC_ASSERT(AcceleratorSet::First(size).Contains(task.accelerators));
        }
      }
    });
  }));
}

Test(decide, any_policy_places_whole_gangs_on_adjacent_accelerators_in_one_zone_in_service) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const RandomFleet& fleet, const Decision& decision) {
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

Test(decide, any_policy_every_waiting_job_is_started_or_given_a_reason) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const RandomFleet& fleet, const Decision& decision) {
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
    ForEachDecision(policy, [&policy](const RandomFleet& fleet, const Decision& decision) {
      const std::unique_ptr<RandomFleet> copy = std::make_unique<RandomFleet>(fleet);
      RC_ASSERT(ToString(decision) == ToString(Decide(copy->snapshot(), policy)));
    });
  }));
}

Test(decide, any_policy_zone_out_stops_all_its_gangs) {
  cr_assert(rc::check([] {
    ForEachDecision(DrawPolicy(), [](const RandomFleet& fleet, const Decision& decision) {
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

Test(decide, papaya_any_step_unused_guarantees_stay_reclaimable) {
  cr_assert(rc::check([] {
    const Policy policy = Papaya();
    RandomFleet fleet = RandomFleet::Generate();
    for (int step = 0; step < kEventsPerFleet; ++step) {
      const bool before = fleet.AreGuaranteesReclaimable();
      const FleetEvent event = fleet.ApplyRandomEvent();
      const bool after = fleet.AreGuaranteesReclaimable();
      RC_ASSERT(after || !before || event == FleetEvent::kZoneChange);
      fleet.ApplyDecision(Decide(fleet.snapshot(), policy));
      RC_ASSERT(!after || fleet.AreGuaranteesReclaimable());
    }
  }));
}

Test(decide, papaya_reclaimable_guarantee_never_waits_for_other_guarantees) {
  cr_assert(rc::check([] {
    ForEachDecision(Papaya(), [](const RandomFleet& fleet, const Decision& decision) {
      for (const WaitDecision& wait : decision.waits) {
        RC_ASSERT(wait.cause != WaitCause::kGuarantees || !fleet.AreGuaranteesReclaimable());
      }
    });
  }));
}

Test(decide, papaya_urgent_job_within_reclaimable_guarantee_never_waits_for_quota) {
  cr_assert(rc::check([] {
    ForEachDecision(Papaya(), [](const RandomFleet& fleet, const Decision& decision) {
      const GuaranteeTracker tracker(fleet.snapshot(), CapacityMap::WithoutGangs(fleet.snapshot()));
      std::set<WorkspaceId> claimed;
      for (const WaitingJob& job : fleet.snapshot().waiting) {
        const bool first = tracker.ClaimFor(job) && claimed.insert(job.workspace).second;
        const bool waits_for_quota = std::any_of(
            decision.waits.begin(), decision.waits.end(), [&job](const WaitDecision& wait) {
              return wait.job == job.job && wait.cause == WaitCause::kQuota;
            });
        const bool claims =
            first && job.urgency == Urgency::kUrgent && fleet.AreGuaranteesReclaimable();
        RC_ASSERT(!claims || !waits_for_quota);
      }
    });
  }));
}

Test(decide, papaya_reclaim_stops_only_borrowed_gangs) {
  cr_assert(rc::check([] {
    ForEachDecision(Papaya(), [](const RandomFleet& fleet, const Decision& decision) {
      for (const StopDecision& stop : decision.stops) {
        const GangView* const gang = fleet.FindGang(stop.job);
        RC_ASSERT(gang->phase != PlacementPhase::kStopping);
        RC_ASSERT(stop.cause != StopCause::kReclaim || gang->claim == Claim::kBorrowed);
        RC_ASSERT(stop.cause != StopCause::kReclaim || !stop.for_job.empty());
      }
    });
  }));
}

Test(decide, papaya_reclaimed_accelerators_go_to_the_reclaiming_job) {
  cr_assert(rc::check([] {
    const Policy policy = Papaya();
    RandomFleet fleet = RandomFleet::Generate();
    for (int step = 0; step < kEventsPerFleet; ++step) {
      fleet.ApplyRandomEvent();
      const Decision decision = Decide(fleet.snapshot(), policy);
      fleet.ApplyDecision(decision);
      RandomFleet later = fleet;
      later.SubmitBorrowingJob(Shape{TaskCount(1), AcceleratorCount(1)});
      for (int stops = 0; later.CompleteStop(); ++stops) {
        RC_ASSERT(stops < kMaxStops);
        later.ApplyDecision(Decide(later.snapshot(), policy));
        later.SubmitBorrowingJob(Shape{TaskCount(1), AcceleratorCount(1)});
      }
      for (const WaitDecision& wait : decision.waits) {
        RC_ASSERT(wait.cause != WaitCause::kReclaiming || later.IsPlaced(wait.job));
      }
    }
  }));
}

}  // namespace papayalift
