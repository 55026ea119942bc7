#include "libraries/node/api_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "libraries/calls/call_codec.h"
#include "libraries/model/audit_codec.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/node/api_request.h"
#include "libraries/node/api_responses.h"
#include "libraries/node/job_explanation.h"
#include "libraries/node/status_page.h"
#include "libraries/node/summary_metrics.h"

namespace papayalift {

namespace {

constexpr Milliseconds kMaxJobWait{30'000};
constexpr std::size_t kMaxAuditEntries = 1'000;
constexpr std::size_t kMaxQueueRows = 50;
constexpr std::size_t kMaxAuditRows = 20;
constexpr Milliseconds kRecentAuditPeriod{3'600'000};

/// Whether a request comes from a caller or an operator, and not from monitoring.
bool IsWork(const std::string& path) {
  return path != "/healthz" && path != "/metrics" && path != "/v1/status";
}

JobId JobOfPath(const HttpRequest& request) { return JobId(PathSegment(request.path, 2)); }

}  // namespace

absl::StatusOr<std::unique_ptr<ApiServer>> ApiServer::Create(const std::string& address,
                                                             std::uint16_t port,
                                                             const HttpServerLimits& limits,
                                                             const ApiDependencies& dependencies) {
  std::unique_ptr<ApiServer> api(new ApiServer(dependencies));
  ApiServer* const self = api.get();
  absl::StatusOr<std::unique_ptr<HttpServer>> server = HttpServer::Create(
      address, port, limits, [self](const HttpRequest& request) { return self->Handle(request); });
  if (!server.ok()) {
    return server.status();
  }
  api->m_server = *std::move(server);
  return api;
}

HttpResponse ApiServer::Handle(const HttpRequest& request) {
  struct Route {
    HttpMethod method;
    const char* pattern;
    HttpResponse (ApiServer::*handler)(const HttpRequest&);
  };
  static constexpr std::array<Route, 19> kRoutes{{
      {HttpMethod::kGet, "/", &ApiServer::StatusPage},
      {HttpMethod::kGet, "/healthz", &ApiServer::Health},
      {HttpMethod::kGet, "/metrics", &ApiServer::ShowMetrics},
      {HttpMethod::kGet, "/v1/status", &ApiServer::Status},
      {HttpMethod::kGet, "/v1/audit", &ApiServer::Audit},
      {HttpMethod::kPost, "/v1/jobs", &ApiServer::SubmitJob},
      {HttpMethod::kGet, "/v1/jobs", &ApiServer::ListJobs},
      {HttpMethod::kGet, "/v1/jobs/*", &ApiServer::ShowJob},
      {HttpMethod::kGet, "/v1/jobs/*/wait", &ApiServer::WaitForJob},
      {HttpMethod::kPost, "/v1/jobs/*/cancel", &ApiServer::CancelJob},
      {HttpMethod::kGet, "/v1/jobs/*/explain", &ApiServer::ExplainJob},
      {HttpMethod::kPost, "/v1/calls/*", &ApiServer::Call},
      {HttpMethod::kGet, "/v1/zones", &ApiServer::ListZones},
      {HttpMethod::kPost, "/v1/zones/*", &ApiServer::ChangeZone},
      {HttpMethod::kPost, "/v1/bundles", &ApiServer::SubmitBundle},
      {HttpMethod::kGet, "/v1/bundles", &ApiServer::BundleHistory},
      {HttpMethod::kGet, "/v1/bundles/*", &ApiServer::ShowBundle},
      {HttpMethod::kPost, "/v1/bundles/*/sign-off", &ApiServer::SignOffBundle},
      {HttpMethod::kPost, "/v1/bundles/*/roll", &ApiServer::RollBundle},
  }};
  bool path_known = false;
  for (const Route& route : kRoutes) {
    if (!MatchesPattern(request.path, route.pattern)) {
      continue;
    }
    path_known = true;
    if (route.method == request.method) {
      m_work_requests += IsWork(request.path) ? 1 : 0;
      return (this->*route.handler)(request);
    }
  }
  HttpResponse response = ErrorResponse(
      absl::NotFoundError(path_known ? "the path does not support this method" : "no such path"));
  response.status = path_known ? HttpStatus::kMethodNotAllowed : HttpStatus::kNotFound;
  return response;
}

HttpResponse ApiServer::Health(const HttpRequest& /*request*/) {
  if (m_draining) {
    return ErrorResponse(absl::UnavailableError("this node is leaving"));
  }
  if (!m_dependencies.state.synchronized()) {
    return ErrorResponse(absl::UnavailableError("the state has not been read yet"));
  }
  return JsonResponse(R"({"healthy":true})");
}

HttpResponse ApiServer::ShowMetrics(const HttpRequest& /*request*/) {
  HttpResponse response =
      JsonResponse(m_dependencies.metrics.Text() + SummaryMetrics(*m_dependencies.state.View()));
  response.content_type = "text/plain; version=0.0.4";
  return response;
}

HttpResponse ApiServer::Status(const HttpRequest& /*request*/) {
  const std::shared_ptr<const FleetView> view = m_dependencies.state.View();
  return StatusResponse(*view, m_dependencies.self, m_dependencies.liveness.LiveNodes(*view));
}

HttpResponse ApiServer::StatusPage(const HttpRequest& /*request*/) {
  const std::shared_ptr<const FleetView> view = m_dependencies.state.View();
  StatusPageContent content;
  content.node = m_dependencies.self;
  content.bundle = view->bundle == nullptr ? BundleVersion(0) : view->bundle->version;
  content.summary = Summarize(*view);
  for (const auto& [id, job] : view->jobs) {
    if (job->value.state != JobState::kQueued) {
      continue;
    }
    ++content.jobs_waiting;
    if (content.queue.size() < kMaxQueueRows) {
      content.queue.push_back(QueuedJob{
          job->value, ExplanationOf(job->value, nullptr, m_dependencies.scheduler.WaitOf(id))});
    }
  }
  content.audit = RecentAudit();
  HttpResponse response = JsonResponse(RenderStatusPage(content));
  response.content_type = "text/html; charset=utf-8";
  return response;
}

std::vector<AuditEntry> ApiServer::RecentAudit() {
  KeyRange range = KeysWithPrefix(keys::kAudit);
  const Milliseconds since = m_dependencies.clock.WallNow() - kRecentAuditPeriod;
  range.first = fmt::format("{}{:015}", keys::kAudit, since.count());
  std::vector<AuditEntry> entries;
  const absl::StatusOr<RangeAnswer> answer = m_dependencies.store.Range(range);
  if (!answer.ok()) {
    return entries;
  }
  const std::size_t count = answer->records.size();
  const std::size_t first = count > kMaxAuditRows ? count - kMaxAuditRows : 0;
  for (std::size_t index = first; index < count; ++index) {
    const absl::StatusOr<AuditEntry> entry = DecodeAuditEntry(answer->records[index].value);
    if (entry.ok()) {
      entries.push_back(*entry);
    }
  }
  return entries;
}

HttpResponse ApiServer::Audit(const HttpRequest& request) {
  const std::int64_t since = ParseIntOr(QueryParameter(request, "since_ms"), 0);
  KeyRange range = KeysWithPrefix(keys::kAudit);
  range.first = fmt::format("{}{:015}", keys::kAudit, since);
  const absl::StatusOr<RangeAnswer> answer = m_dependencies.store.Range(range);
  if (!answer.ok()) {
    return ErrorResponse(answer.status());
  }
  const std::string action = QueryParameter(request, "action");
  const std::string subject = QueryParameter(request, "subject");
  std::vector<AuditEntry> entries;
  for (const KeyValue& record : answer->records) {
    const absl::StatusOr<AuditEntry> entry = DecodeAuditEntry(record.value);
    const bool wanted = entry.ok() && (action.empty() || entry->action == action) &&
                        (subject.empty() || entry->subject.find(subject) != std::string::npos);
    if (wanted) {
      entries.push_back(*entry);
    }
  }
  if (entries.size() > kMaxAuditEntries) {
    entries.erase(entries.begin(), entries.end() - kMaxAuditEntries);
  }
  return AuditResponse(entries);
}

HttpResponse ApiServer::SubmitJob(const HttpRequest& request) {
  if (m_draining) {
    return ErrorResponse(absl::UnavailableError("this node is leaving; ask another"));
  }
  const absl::StatusOr<JobSpec> spec = DecodeJobSpec(request.body);
  if (!spec.ok()) {
    return ErrorResponse(spec.status());
  }
  const absl::StatusOr<SubmitResult> answer = m_dependencies.jobs.Submit(*spec);
  return answer.ok() ? SubmitResponse(*answer) : ErrorResponse(answer.status());
}

HttpResponse ApiServer::ListJobs(const HttpRequest& /*request*/) {
  return JobListResponse(*m_dependencies.state.View());
}

HttpResponse ApiServer::ShowJob(const HttpRequest& request) {
  const absl::StatusOr<JobRecord> job = m_dependencies.jobs.Read(JobOfPath(request));
  return job.ok() ? JsonResponse(EncodeJob(*job)) : ErrorResponse(job.status());
}

HttpResponse ApiServer::WaitForJob(const HttpRequest& request) {
  const JobId id = JobOfPath(request);
  const Milliseconds limit(
      std::clamp<std::int64_t>(ParseIntOr(QueryParameter(request, "limit_ms"), kMaxJobWait.count()),
                               0, kMaxJobWait.count()));
  const std::shared_ptr<const FleetView> view = m_dependencies.state.WaitUntil(
      [&id, this](const FleetView& current) {
        const auto job = current.jobs.find(id);
        const bool ended = job != current.jobs.end() && IsFinal(job->second->value.state);
        return ended || m_draining.load();
      },
      limit);
  const auto job = view->jobs.find(id);
  if (job == view->jobs.end()) {
    return ShowJob(request);
  }
  return JsonResponse(EncodeJob(job->second->value));
}

HttpResponse ApiServer::CancelJob(const HttpRequest& request) {
  const absl::StatusOr<JobRecord> job = m_dependencies.jobs.Cancel(JobOfPath(request));
  return job.ok() ? JsonResponse(EncodeJob(*job)) : ErrorResponse(job.status());
}

HttpResponse ApiServer::ExplainJob(const HttpRequest& request) {
  const absl::StatusOr<JobRecord> job = m_dependencies.jobs.Read(JobOfPath(request));
  if (!job.ok()) {
    return ErrorResponse(job.status());
  }
  const std::shared_ptr<const FleetView> view = m_dependencies.state.View();
  const auto placement = view->placements.find(job->id);
  const PlacementRecord* const placed =
      placement == view->placements.end() ? nullptr : &placement->second->value;
  return ExplainResponse(*job,
                         ExplanationOf(*job, placed, m_dependencies.scheduler.WaitOf(job->id)));
}

HttpResponse ApiServer::Call(const HttpRequest& request) {
  absl::StatusOr<CallRequest> call = DecodeCallRequest(request.body);
  if (!call.ok()) {
    return ErrorResponse(call.status());
  }
  if (m_draining) {
    return ErrorResponse(absl::UnavailableError("this node is leaving; ask another"));
  }
  const std::shared_ptr<const FleetView> view = m_dependencies.state.View();
  const ServiceId service_id(PathSegment(request.path, 2));
  const ServiceSpec* const service =
      view->bundle == nullptr ? nullptr : view->bundle->bundle.FindService(service_id);
  if (service == nullptr) {
    return ErrorResponse(absl::NotFoundError(
        fmt::format("the bundle in force does not declare service '{}'", service_id.text())));
  }
  call->limit = std::min(call->limit, m_dependencies.call_limit);
  const int live_nodes = static_cast<int>(m_dependencies.liveness.LiveNodes(*view).size());
  const CallResult result = m_dependencies.calls.Route(*call, *service, live_nodes);
  HttpResponse response = JsonResponse(EncodeCallResult(result));
  if (result.verdict != Verdict::kRan) {
    response.status =
        result.verdict == Verdict::kNotRun ? HttpStatus::kUnavailable : HttpStatus::kBadGateway;
  }
  return response;
}

}  // namespace papayalift
