/// Tells which entry nodes are live from this node's point of view.
#pragma once

#include <vector>

#include "libraries/base/ids.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

class Liveness {
 public:
  virtual ~Liveness() = default;

  /// Includes this node while it is serving.
  virtual std::vector<NodeId> LiveNodes(const FleetView& view) const = 0;
};

}  // namespace papayalift
