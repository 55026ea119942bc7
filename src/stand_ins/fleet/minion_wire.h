/// Serves the stand-in's minions over the platform's HTTP protocol.
#pragma once

#include "libraries/http/async_http_server.h"
#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

class MinionWire {
 public:
  explicit MinionWire(FleetMinions& minions) : m_minions(minions) {}

  /// Dispatches to the minion that the request's header names.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  FleetMinions& m_minions;
};

}  // namespace papayalift
