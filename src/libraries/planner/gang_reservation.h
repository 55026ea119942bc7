/// Reserves minions for gangs that have waited. Load that it answers: a fleet full of narrow work
/// takes each minion as it becomes free, and a wide gang finds them free together at no time.
#pragma once

#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

/// Holds minions for the gangs that have waited longest, where each can be whole first. Other steps
/// start there only if they end before that time or leave enough room. `pending` are the steps of
/// the pass.
void ReserveForGangs(const std::vector<const PendingStep*>& pending, PlanCapacity& capacity);

}  // namespace papayalift
