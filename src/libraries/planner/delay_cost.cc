#include "libraries/planner/delay_cost.h"

#include <algorithm>

namespace papayalift {

namespace {

/// A step with guaranteed priority, but beyond its guarantee, that must start within this time to
/// be on time may stop runs of lower priority. Load that it answers: a burst of short jobs beyond
/// the guarantees, while long ones of low priority fill the fleet.
constexpr Milliseconds kUrgentSlack{2'000};
/// Work that such a step may make others lose, relative to its own.
constexpr double kMaxLostWorkShare = 0.5;
/// Share of the time to spare that a step spends on waiting for runs to end. The rest covers gang
/// members that take longer than estimated, and runs that end later than expected.
constexpr int kSlackPerWait = 2;
/// Share of its value that a job loses by being late.
constexpr double kLateLoss = 0.5;
/// Each former stop makes a run dearer by its unsaved work, at most this often.
constexpr int kMaxCountedStops = 4;

Milliseconds MaxWaitForEnds(const ReclaimFacts& facts) {
  const Milliseconds to_spare = (facts.slack - kStartTime) / kSlackPerWait;
  const bool is_late = facts.slack < Milliseconds(0);
  if (!facts.is_guaranteed) {
    return std::max(Milliseconds(0), to_spare);
  }
  if (!facts.is_age_certain || facts.age >= kLastReclaimDecision) {
    return Milliseconds(0);
  }
  const Milliseconds until_decision = kLastReclaimDecision - facts.age;
  // A stop would not make room any sooner than after kStopTime.
  return is_late ? until_decision : std::min(until_decision, std::max(kStopTime, to_spare));
}

}  // namespace

ReclaimLimits LimitReclaim(const ReclaimFacts& facts, DelayPolicy policy) {
  ReclaimLimits limits;
  const bool is_urgent = facts.slack >= Milliseconds(0) && facts.slack < kUrgentSlack;
  if (facts.priority == kGuaranteedPriority && !facts.is_guaranteed && is_urgent) {
    limits.max_lost_work = kMaxLostWorkShare * facts.work;
  }
  const bool may_reclaim = facts.is_guaranteed || limits.max_lost_work > 0;
  if (policy == DelayPolicy::kByCost && may_reclaim) {
    limits.max_wait_for_ends = MaxWaitForEnds(facts);
    limits.may_only_await_stops = !facts.is_guaranteed && facts.slack < kStopTime + kStartTime;
  }
  return limits;
}

double CostOfStop(const PlanVictim& victim, DelayPolicy policy) {
  if (policy == DelayPolicy::kBySlack) {
    return victim.unsaved_work;
  }
  const int stops = std::min(victim.times_stopped, kMaxCountedStops);
  const bool turns_late =
      victim.slack >= Milliseconds(0) && victim.slack_if_stopped < Milliseconds(0);
  return victim.unsaved_work * (1 + stops) + (turns_late ? kLateLoss * victim.work : 0);
}

}  // namespace papayalift
