/// A stand-in for a worker, served over HTTP.
///
/// Controls: "POST /control/faults", "POST /control/conduct", "POST /control/forget",
/// "GET /control/record?since=N&renewals=N".
#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/boot_clock.h"
#include "libraries/http/http_server.h"
#include "stand_ins/control/faulty_handler.h"
#include "stand_ins/worker/report_lag.h"
#include "stand_ins/worker/worker_agent.h"
#include "stand_ins/worker/worker_recorder.h"

namespace papayalift {

class WorkerStandIn {
 public:
  static absl::StatusOr<std::unique_ptr<WorkerStandIn>> Create(const std::string& address,
                                                               std::uint16_t port,
                                                               AcceleratorCount accelerators);
  ~WorkerStandIn();

  std::uint16_t port() const { return m_server->port(); }
  WorkerAgent& agent() { return m_agent; }

 private:
  explicit WorkerStandIn(AcceleratorCount accelerators)
      : m_agent(m_clock, accelerators),
        m_recorder(m_clock),
        m_lag(m_clock),
        m_faults([this](const HttpRequest& request) { return Handle(request); }) {}

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandlePrepare(const HttpRequest& request);
  HttpResponse HandleStart(const HttpRequest& request);
  HttpResponse HandleStop(const HttpRequest& request);
  HttpResponse HandleRenew(const HttpRequest& request);
  HttpResponse HandleConduct(const HttpRequest& request);
  HttpResponse HandleForget(const HttpRequest& request);
  HttpResponse HandleRecord(const HttpRequest& request);

  BootClock m_clock;
  WorkerAgent m_agent;
  WorkerRecorder m_recorder;
  ReportLag m_lag;
  FaultyHandler m_faults;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace papayalift
