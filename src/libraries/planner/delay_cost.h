/// What it costs callers to delay a step or to stop a run. The order of planning, the search for
/// runs to stop and the leader's limits on stops all ask here.
#pragma once

#include <vector>

#include "libraries/base/units.h"
#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// Stopping a run until its capacity is free.
constexpr Milliseconds kStopTime{400};
/// From the decision to start a task until it works.
constexpr Milliseconds kStartTime{300};
/// Until a guaranteed job has this age it may wait for runs to end; then it stops others. The
/// shortest reclaim limit is 2,700 ms, a stop and a start take 700 ms, and the rest is left for
/// late answers.
constexpr Milliseconds kLastReclaimDecision{1'200};

/// A step that may make others give way, as the leader knows it.
struct ReclaimFacts {
  bool is_guaranteed = false;
  Priority priority;
  /// Since its job was accepted.
  Milliseconds age{0};
  /// The job was accepted under this leader, so that `age` is all of its waiting.
  bool is_age_certain = false;
  /// PendingStep::slack.
  Milliseconds slack{0};
  /// Weighted core-seconds of the waiting tasks.
  double work = 0;
};

/// What such a step may do to others.
struct ReclaimLimits {
  /// PendingStep::max_lost_work.
  double max_lost_work = 0;
  /// PendingStep::max_wait_for_ends.
  Milliseconds max_wait_for_ends{0};
  /// PendingStep::may_only_await_stops.
  bool may_only_await_stops = false;
};

/// A step within its guarantee may always stop others, but first waits for runs that are about to
/// end while that endangers neither its objective nor the guarantee. Beyond the guarantee, steps of
/// guaranteed priority may stop others if they must start soon and can then still be on time.
ReclaimLimits LimitReclaim(const ReclaimFacts& facts, DelayPolicy policy);

/// Weighted core-seconds that stopping the victim costs: its unsaved work, more for each time that
/// it was stopped before, and the value that its job loses by being late. Never less than
/// PlanVictim::unsaved_work.
double CostOfStop(const PlanVictim& victim, DelayPolicy policy);

/// A step of a group that is offered capacity.
struct DelayCandidate {
  const PendingStep* step = nullptr;
  /// Capacity that its waiting tasks take, as a share of the service.
  double share = 0;
};

/// Orders steps of equal priority, given by ascending slack. `turnover` is the time in milliseconds
/// in which all that is in use ends once. Free capacity does not count: it is what the steps before
/// could not use. As many steps as can start in time come first, in the order given; of those that
/// can't all be on time, the ones with the least value for the work that they still need are passed
/// over. Then come steps that are passed over or late, those with the most value for their work
/// first, then those whose jobs are worth nothing any more, the longest waiting first. Now and then
/// the step that has waited longest is first of all, so that none waits without end.
std::vector<const PendingStep*> PassOver(const std::vector<DelayCandidate>& candidates,
                                         double turnover);

}  // namespace papayalift
