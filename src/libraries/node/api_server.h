/// The HTTP API of an entry node, for callers and operators.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/clock.h"
#include "libraries/calls/call_router.h"
#include "libraries/http/http_server.h"
#include "libraries/metrics/metrics.h"
#include "libraries/model/audit_entry.h"
#include "libraries/node/bundle_manager.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/job_manager.h"
#include "libraries/node/liveness.h"
#include "libraries/node/scheduler.h"
#include "libraries/node/zone_manager.h"

namespace papayalift {

/// The components that handle API requests. The node owns them, and they outlive the server.
struct ApiDependencies {
  const NodeId self;
  const Clock& clock;
  FleetState& state;
  KeyValueService& store;
  JobManager& jobs;
  ZoneManager& zones;
  BundleManager& bundles;
  CallRouter& calls;
  Scheduler& scheduler;
  const Liveness& liveness;
  Metrics& metrics;
  Milliseconds call_limit;
};

class ApiServer {
 public:
  static absl::StatusOr<std::unique_ptr<ApiServer>> Create(const std::string& address,
                                                           std::uint16_t port,
                                                           const HttpServerLimits& limits,
                                                           const ApiDependencies& dependencies);

  std::uint16_t port() const { return m_server->port(); }

  /// Makes the health check return 503 and refuses new work with the verdict "not run".
  /// Responses close their connections, so that callers reconnect to other nodes.
  void BeginDrain() {
    m_draining = true;
    m_server->CloseAfterResponses();
  }
  void StopListening() { m_server->StopListening(); }
  /// Number of requests so far, without those for health, metrics and status.
  std::int64_t work_requests() const { return m_work_requests.load(); }
  int requests_in_flight() const { return m_server->requests_in_flight(); }

 private:
  explicit ApiServer(const ApiDependencies& dependencies) : m_dependencies(dependencies) {}

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Health(const HttpRequest& request);
  HttpResponse ShowMetrics(const HttpRequest& request);
  HttpResponse Status(const HttpRequest& request);
  HttpResponse StatusPage(const HttpRequest& request);
  /// The changes of the last hour, newest last; empty where the store can't be read.
  std::vector<AuditEntry> RecentAudit();
  HttpResponse Audit(const HttpRequest& request);
  HttpResponse SubmitJob(const HttpRequest& request);
  HttpResponse ListJobs(const HttpRequest& request);
  HttpResponse ShowJob(const HttpRequest& request);
  HttpResponse WaitForJob(const HttpRequest& request);
  HttpResponse CancelJob(const HttpRequest& request);
  HttpResponse ExplainJob(const HttpRequest& request);
  HttpResponse Call(const HttpRequest& request);
  HttpResponse ListZones(const HttpRequest& request);
  HttpResponse ChangeZone(const HttpRequest& request);
  HttpResponse SubmitBundle(const HttpRequest& request);
  HttpResponse SignOffBundle(const HttpRequest& request);
  HttpResponse RollBundle(const HttpRequest& request);
  HttpResponse ShowBundle(const HttpRequest& request);
  HttpResponse BundleHistory(const HttpRequest& request);

  const ApiDependencies m_dependencies;
  std::atomic<bool> m_draining{false};
  std::atomic<std::int64_t> m_work_requests{0};
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace papayalift
