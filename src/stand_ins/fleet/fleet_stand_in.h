/// A stand-in for the users' platform in one process: its store, minions, and injected faults.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/http/async_http_server.h"
#include "libraries/loop/event_loop.h"
#include "stand_ins/fleet/fleet_minions.h"
#include "stand_ins/fleet/fleet_store.h"
#include "stand_ins/fleet/minion_wire.h"
#include "stand_ins/fleet/standstill_meter.h"
#include "stand_ins/fleet/store_wire.h"

namespace papayalift {

enum class MinionListeners {
  /// Calls to a minion arrive at the stand-in's own port, directly or through a proxy.
  kShared,
  /// Each minion listens on the port that it publishes, until it is gone for good.
  kSeparate,
};

/// Ports that the minions publish: one port per minion from `first` on; 0 for the stand-in's own
/// port.
struct MinionPorts {
  int first = 0;
  MinionListeners listeners = MinionListeners::kShared;
};

/// Serves the store, the minions (distinguished by the instance named in a call) and the controls
/// under `/stand-in/...` on 127.0.0.1 at `port`.
class FleetStandIn {
 public:
  static absl::StatusOr<std::unique_ptr<FleetStandIn>> Create(EventLoop& loop, std::uint16_t port,
                                                              int minions,
                                                              MinionPorts minion_ports = {});

 private:
  explicit FleetStandIn(EventLoop& loop);

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  /// Actions: "put" and "remove" write to the store as an operator; "forget" compacts its history;
  /// "fail-store" and "fail-minion" inject faults, the former with "key" only into writes of keys
  /// with that prefix; "restart" starts a new incarnation of a minion; "crash" ends a minion's
  /// process for a few seconds, or for good with "back=never"; "drain" lets a minion announce its
  /// end and restart after "notice" milliseconds; "know" registers a job's
  /// specification; "broken" lists the violations; "starts" counts the starts of a job; "jobs"
  /// lists the records of all jobs; "running" lists the minions that run a job; "value" is that of
  /// a key.
  void HandleControl(const HttpRequest& request, const HttpResponder& respond);
  HttpResponse Control(const HttpRequest& request);
  void WriteAsOperator(const HttpRequest& request, WriteKind kind);
  void CrashMinion(const HttpRequest& request);
  absl::Status ListenFor(const MinionId& minion, std::uint16_t port);
  absl::StatusOr<std::unique_ptr<AsyncHttpServer>> Serve(std::uint16_t port);
  std::string RecordsText() const;

  EventLoop& m_loop;
  FleetStore m_store;
  FleetMinions m_minions;
  StandstillMeter m_standstill;
  StoreWire m_store_wire;
  MinionWire m_minion_wire;
  /// Those of minions with listeners of their own.
  std::map<MinionId, std::unique_ptr<AsyncHttpServer>> m_minion_servers;
  std::unique_ptr<AsyncHttpServer> m_server;
};

}  // namespace papayalift
