/// Builds the snapshot of a run that the decision library receives.
#pragma once

#include "libraries/decisions/snapshot.h"
#include "libraries/lab/lab_state.h"

namespace papayalift {

/// Progress is delayed by the report lag; placements and the queue are current.
Snapshot SnapshotOf(const LabState& state);

}  // namespace papayalift
