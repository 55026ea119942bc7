/// Decides which waiting tasks start on which minions, and which runs are stopped for a guarantee.
#pragma once

#include "libraries/planner/plan.h"

namespace papayalift {

/// A pure function. A gang starts as a whole or not at all, and no minion is given more than its
/// free capacity. Steps within their guarantee stop others: runs of lower priority and, once the
/// step has waited long enough, borrowers of the same priority. Other steps stop runs of lower
/// priority up to PendingStep::max_lost_work.
Plan PlanTasks(const PlanSnapshot& snapshot);

}  // namespace papayalift
