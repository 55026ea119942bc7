/// One scheduling pass: a pure function from a snapshot to a decision.
#pragma once

#include "libraries/decisions/decision.h"
#include "libraries/decisions/policy.h"
#include "libraries/decisions/snapshot.h"

namespace papayalift {

/// The same snapshot and policy always give the same decision.
Decision Decide(const Snapshot& snapshot, const Policy& policy);

}  // namespace papayalift
