#include "stand_ins/worker/worker_stand_in.h"

#include <array>
#include <utility>

#include "libraries/http/path_route.h"
#include "libraries/worker/worker_codec.h"
#include "stand_ins/control/control_codec.h"
#include "stand_ins/control/record_query.h"

namespace papayalift {

namespace {

HttpResponse ResponseOf(const absl::Status& status) {
  HttpResponse response;
  response.status = HttpStatusOf(status.code());
  response.body = status.ok() ? "{}" : std::string(status.message());
  return response;
}

HttpResponse ReportsResponse(const std::vector<AttemptReport>& reports) {
  HttpResponse response;
  response.body = EncodeReports(reports);
  return response;
}

}  // namespace

absl::StatusOr<std::unique_ptr<WorkerStandIn>> WorkerStandIn::Create(
    const std::string& address, std::uint16_t port, AcceleratorCount accelerators) {
  std::unique_ptr<WorkerStandIn> worker(new WorkerStandIn(accelerators));
  FaultyHandler* const faults = &worker->m_faults;
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Create(address, port, HttpServerLimits{},
                         [faults](const HttpRequest& request) { return faults->Handle(request); });
  if (!server.ok()) {
    return server.status();
  }
  worker->m_server = *std::move(server);
  return worker;
}

WorkerStandIn::~WorkerStandIn() {
  m_faults.Clear();
  m_server.reset();
}

HttpResponse WorkerStandIn::Handle(const HttpRequest& request) {
  static constexpr std::array<PathRoute<WorkerStandIn>, 7> kRoutes{{
      {"/v1/prepare", &WorkerStandIn::HandlePrepare},
      {"/v1/start", &WorkerStandIn::HandleStart},
      {"/v1/stop", &WorkerStandIn::HandleStop},
      {"/v1/renew", &WorkerStandIn::HandleRenew},
      {"/control/conduct", &WorkerStandIn::HandleConduct},
      {"/control/forget", &WorkerStandIn::HandleForget},
      {"/control/record", &WorkerStandIn::HandleRecord},
  }};
  return RouteByPath(*this, kRoutes, request);
}

HttpResponse WorkerStandIn::HandlePrepare(const HttpRequest& request) {
  const absl::StatusOr<PrepareRequest> prepare = DecodePrepare(request.body);
  if (!prepare.ok()) {
    return ResponseOf(prepare.status());
  }
  const absl::Status prepared = m_agent.Prepare(*prepare);
  if (prepared.ok()) {
    m_recorder.Prepared(*prepare);
  }
  return ResponseOf(prepared);
}

HttpResponse WorkerStandIn::HandleStart(const HttpRequest& request) {
  const absl::StatusOr<StartRequest> start = DecodeStart(request.body);
  if (!start.ok()) {
    return ResponseOf(start.status());
  }
  const absl::Status started = m_agent.Start(*start);
  if (started.ok()) {
    m_recorder.Started(start->attempt);
  }
  return ResponseOf(started);
}

HttpResponse WorkerStandIn::HandleStop(const HttpRequest& request) {
  const absl::StatusOr<StopRequest> stop = DecodeStop(request.body);
  return stop.ok() ? ReportsResponse({m_agent.Stop(*stop)}) : ResponseOf(stop.status());
}

HttpResponse WorkerStandIn::HandleRenew(const HttpRequest& request) {
  const absl::StatusOr<RenewRequest> renew = DecodeRenew(request.body);
  if (!renew.ok()) {
    return ResponseOf(renew.status());
  }
  const std::vector<AttemptReport> reports = m_agent.Renew(*renew);
  m_recorder.Renewed(reports);
  return ReportsResponse(m_lag.Delayed(reports));
}

HttpResponse WorkerStandIn::HandleConduct(const HttpRequest& request) {
  const absl::StatusOr<ConductOrder> order = DecodeConductOrder(request.body);
  if (!order.ok()) {
    return ResponseOf(order.status());
  }
  m_agent.SetFaultMode(order->conduct == Conduct::kFailsEverything ? FaultMode::kFailsEverything
                                                                   : FaultMode::kNone);
  m_lag.SetLag(order->report_lag);
  return ResponseOf(absl::OkStatus());
}

HttpResponse WorkerStandIn::HandleForget(const HttpRequest& /*request*/) {
  m_agent.Forget();
  return ResponseOf(absl::OkStatus());
}

HttpResponse WorkerStandIn::HandleRecord(const HttpRequest& request) {
  HttpResponse response;
  response.body = EncodeWorkerRecord(
      m_recorder.RecordSince(SinceOf(request), SinceOf(request, "renewals"), m_agent.running()));
  return response;
}

}  // namespace papayalift
