/// Turns what a node knows into the input of the decision library.
#pragma once

#include "libraries/decisions/snapshot.h"
#include "libraries/membership/vm_list.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

/// `wall_now` is compared with the wall times in the records. The view must have a bundle. Workers
/// that leave by `vms`, null for none, are unavailable: what runs there goes on.
Snapshot BuildSnapshot(const FleetView& view, Milliseconds wall_now, const VmList* vms = nullptr);

}  // namespace papayalift
