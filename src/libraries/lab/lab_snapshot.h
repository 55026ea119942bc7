/// The view that the decision library gets of a run.
#pragma once

#include "libraries/decisions/snapshot.h"
#include "libraries/lab/lab_state.h"

namespace papayalift {

/// Progress is as old as the report lag; placements and the queue are not.
Snapshot SnapshotOf(const LabState& state);

}  // namespace papayalift
