/// Assigns jobs to nodes by rendezvous hashing over the live nodes. This only avoids duplicate
/// work; safety rests on compare-and-swap and on the workers' leases.
#pragma once

#include <vector>

#include "libraries/base/ids.h"

namespace papayalift {

/// The owner of `job` among `live`; empty where `live` is.
NodeId OwnerOf(const JobId& job, const std::vector<NodeId>& live);

}  // namespace papayalift
