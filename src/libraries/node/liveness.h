/// Which entry nodes are alive, as this node sees it.
#pragma once

#include <vector>

#include "libraries/base/ids.h"
#include "libraries/node/fleet_view.h"

namespace papayalift {

class Liveness {
 public:
  virtual ~Liveness() = default;

  /// Includes this node itself while it takes part.
  virtual std::vector<NodeId> LiveNodes(const FleetView& view) const = 0;
};

}  // namespace papayalift
