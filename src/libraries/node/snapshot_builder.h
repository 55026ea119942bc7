/// Converts a node's view into the input of the decision library.
#pragma once

#include "libraries/decisions/snapshot.h"
#include "libraries/membership/vm_list.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

/// `wall_now` is compared with the wall times in the records. The view must have a bundle. Workers
/// that are leaving according to `vms`, which may be null, are marked unavailable; tasks running on
/// them continue.
Snapshot BuildSnapshot(const FleetView& view, Milliseconds wall_now, const VmList* vms = nullptr);

}  // namespace papayalift
