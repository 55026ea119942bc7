/// The minions of the stand-in as the platform speaks with them.
#pragma once

#include "libraries/http/async_http_server.h"
#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

class MinionWire {
 public:
  explicit MinionWire(FleetMinions& minions) : m_minions(minions) {}

  /// The request's header names the minion.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  FleetMinions& m_minions;
};

}  // namespace papayalift
