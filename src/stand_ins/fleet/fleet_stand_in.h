/// The users' platform as one small process: its store, some minions, and faults by script.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/http/async_http_server.h"
#include "libraries/loop/event_loop.h"
#include "stand_ins/fleet/fleet_minions.h"
#include "stand_ins/fleet/fleet_store.h"
#include "stand_ins/fleet/minion_wire.h"
#include "stand_ins/fleet/store_wire.h"

namespace papayalift {

/// Where minions say that they are reached: one port each from `first` on, as for proxies; 0 for
/// the stand-in's own.
struct MinionPorts {
  int first = 0;
};

/// Serves on 127.0.0.1 at `port`: the store, the minions (told apart by the instance that a call
/// names) and `/stand-in/...` for scripts.
class FleetStandIn {
 public:
  static absl::StatusOr<std::unique_ptr<FleetStandIn>> Create(EventLoop& loop, std::uint16_t port,
                                                              int minions,
                                                              MinionPorts minion_ports = {});

 private:
  explicit FleetStandIn(EventLoop& loop);

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  /// "put" and "remove" write as an operator; "fail-store" and "fail-minion" set faults; "restart"
  /// gives a minion a new life; "know" tells what a job asks for; "broken" lists the rules that
  /// were seen broken; "starts" counts; "jobs" shows what was seen of each job.
  void HandleControl(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse Control(const HttpRequest& request);
  void WriteAsOperator(const HttpRequest& request, WriteKind kind);

  EventLoop& m_loop;
  FleetStore m_store;
  FleetMinions m_minions;
  StoreWire m_store_wire;
  MinionWire m_minion_wire;
  std::unique_ptr<AsyncHttpServer> m_server;
};

}  // namespace papayalift
