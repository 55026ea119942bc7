/// Which tasks start on minions without other runs, because they may have crashed a minion.
#pragma once

#include <cstddef>

#include "libraries/leader/leader_state.h"
#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// Whether the task may have crashed a minion. Two crashes some time after its starts are as good
/// as one right after a start.
bool IsSuspect(const TaskProgress& task);

/// Whether the minion runs such a task, and it may still crash it: nothing else is placed there.
bool HasRunOnProbation(const TrackedMinion& minion);

/// Marks the waiting suspects of the job's step as isolated. If one of them has likely crashed a
/// minion, those of independent tasks take turns, so that a job whose tasks all crash their minions
/// takes down few.
void IsolateSuspects(LeaderState& state, const TrackedJob& job, std::size_t step,
                     PendingStep& pending);

}  // namespace papayalift
