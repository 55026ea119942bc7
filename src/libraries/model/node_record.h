/// A registered entry node.
#pragma once

#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

struct NodeRecord {
  NodeId id;
  ZoneId zone;
  /// "IP:port" of the HTTP API.
  std::string api_address;
  /// "IP:port" where peers connect.
  std::string peer_address;
  /// Differs for each start of a process with this id.
  std::string incarnation;
  Milliseconds registered_at{0};
};

}  // namespace papayalift
