/// Decides which waiting tasks start where, and what is stopped for a guarantee.
#pragma once

#include "libraries/planner/plan.h"

namespace papayalift {

/// A pure function. A gang starts whole or not at all; no minion is given more than its free room;
/// only guaranteed units stop others: those of lower priority and, once they have waited, borrowers
/// of their own.
Plan PlanTasks(const PlanSnapshot& snapshot);

}  // namespace papayalift
