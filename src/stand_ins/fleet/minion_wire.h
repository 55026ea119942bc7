/// Serves the stand-in's minions over the platform's HTTP protocol.
#pragma once

#include "libraries/http/async_http_server.h"
#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

class MinionWire {
 public:
  explicit MinionWire(FleetMinions& minions) : m_minions(minions) {}

  /// Dispatches to the minion that the request's header names. A request over a connection that is
  /// not newer than the process on that minion's machine gets no answer, and its connection is
  /// closed: as one process serves all minions here, the connection has outlived the process that
  /// it was opened to.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  bool IsToFormerProcess(const HttpRequest& request, const MinionId& called) const;

  FleetMinions& m_minions;
};

}  // namespace papayalift
