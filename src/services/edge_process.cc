#include "services/edge_process.h"

#include <unistd.h>

#include <algorithm>
#include <memory>

#include "libraries/base/boot_clock.h"
#include "libraries/base/try.h"
#include "libraries/http/async_http_client.h"
#include "libraries/http/async_http_server.h"
#include "libraries/http/body_budget.h"
#include "libraries/http/body_budget_report.h"
#include "libraries/job_requests/job_request_handler.h"
#include "libraries/leader/leader_session.h"
#include "libraries/log/json_log_sink.h"
#include "libraries/settings/ip_address.h"
#include "platform/job_request_codec.h"
#include "platform/kv_store_client.h"
#include "platform/minion_client.h"
#include "platform/platform_schema.h"
#include "services/edge_settings_watcher.h"
#include "services/process_signals.h"

namespace papayalift {

namespace {

constexpr std::size_t kLogBufferBytes = 256UL * 1024;
constexpr std::size_t kLogFlushBytes = 8UL * 1024;
/// Descriptors that are left to files and to the connections of consumers and of the ingress.
constexpr int kReservedDescriptors = 1'500;
constexpr int kMinIdleConnections = 100;
constexpr int kMaxIdleStoreConnections = 64;
/// Above it the store counts as unreachable and the node is not ready, so that consumers are routed
/// elsewhere. A follower has contact with the store at least every two seconds.
constexpr Milliseconds kMaxStoreContactAge{3'500};
constexpr Milliseconds kHousekeepingInterval{1'000};
/// Part of the time within which a draining minion must get no more work that is reserved for the
/// news of it to arrive and for a placement to be stored and ordered.
constexpr Milliseconds kDrainMargin{500};
/// A loop whose timers run later than this is overloaded, which is logged.
constexpr Milliseconds kMaxTimerDelay{250};
/// After SIGTERM: how long the ingress may take to notice, and how long no request may arrive
/// before the process exits.
constexpr Milliseconds kIngressDrainTime{3'000};
constexpr Milliseconds kIdleTimeBeforeExit{500};
/// Part of the stop grace period that is reserved for the exit itself.
constexpr Milliseconds kExitMargin{400};
constexpr Milliseconds kStopPollInterval{100};

constexpr std::size_t kBytesPerMegabyte = 1024UL * 1024;
constexpr std::size_t kHeaderBytes = 24UL * 1024;
/// What a connection holds beside the pool for its headers.
constexpr std::size_t kConnectionOverheadBytes = 4UL * 1024;
constexpr unsigned int kMaxConsumerConnections = 1'000;
/// Readiness and metrics are asked by a few clients, with empty bodies.
constexpr unsigned int kMaxProbeConnections = 64;
constexpr std::size_t kMaxProbeBodyBytes = 4UL * 1024;

std::size_t MemoryOf(const platform::EdgeSettings& settings) {
  return static_cast<std::size_t>(settings.memory_megabytes) * kBytesPerMegabyte;
}

BodyBudgetLimits BodyLimitsOf(const platform::EdgeSettings& settings) {
  BodyBudgetLimits limits = BodyBudgetLimits::ForMemory(MemoryOf(settings));
  limits.min_bytes_per_second = static_cast<std::size_t>(settings.min_body_rate);
  return limits;
}

LogBuffer& StandardOutputBuffer() {
  static LogBuffer buffer(STDOUT_FILENO, kLogBufferBytes);
  return buffer;
}

class EdgeProcess {
 public:
  EdgeProcess(const platform::EdgeSettings& settings, const std::string& path,
              std::unique_ptr<EventLoop> loop)
      : m_settings(settings),
        m_settings_watcher(settings, path),
        m_loop(std::move(loop)),
        m_body_budget(m_loop->clock(), BodyLimitsOf(settings)),
        m_body_report(m_loop->clock(), m_body_budget, m_metrics),
        m_store_http(*m_loop, kMaxIdleStoreConnections, Urgency::kUrgent),
        m_minion_http(*m_loop, std::max(kMinIdleConnections,
                                        settings.max_descriptors - kReservedDescriptors)),
        m_store(*m_loop, m_store_http, m_metrics, settings.store_address),
        m_minions(*m_loop, m_minion_http, m_metrics),
        m_view(*m_loop, m_store, m_schema),
        m_election(*m_loop, m_store, ElectionOf(settings),
                   ElectionCallbacks{[this](Term term) { BecomeLeader(term); },
                                     [this](const std::string&) { BecomeFollower(); }}),
        m_request_handler(*m_loop, m_store, m_schema, m_view, m_metrics,
                          WithdrawalLimits::ForStore(settings.store_writes_per_second)) {}

  absl::Status Run() {
    m_consumer_server = TRY(Listen(m_settings.consumer_address, ConsumerLimits(),
                                   [this](const HttpRequest& request, HttpResponder respond) {
                                     m_last_request_at = m_loop->clock().Now();
                                     m_request_handler.Handle(
                                         platform::DecodeJobRequest(request),
                                         [respond = std::move(respond)](const JobReply& reply) {
                                           respond(platform::EncodeJobReply(reply));
                                         });
                                   }));
    m_ready_server = TRY(Listen(
        m_settings.ready_address, ProbeLimits(),
        [this](const HttpRequest&, const HttpResponder& respond) { respond(ReadyResponse()); }));
    m_metrics_server = TRY(Listen(
        m_settings.metrics_address, ProbeLimits(),
        [this](const HttpRequest&, const HttpResponder& respond) { respond(MetricsResponse()); }));
    ProcessSignals::Install();
    ProcessSignals::SetWakeDescriptor(m_loop->wake_descriptor());
    LogEvent(LogLevel::kInfo, "edge", "started")
        .Field("node", m_settings.node.text())
        .Field("first_start", m_settings.is_first_start ? 1 : 0)
        .Zone(m_settings.zone)
        .Write();
    m_election.Start();
    m_view.Confirm(Milliseconds(0), [](Freshness) {});
    m_loop->SetAfterIteration([this] { AfterRound(); });
    RunHousekeeping();
    m_loop->Run();
    LogEvent(LogLevel::kInfo, "edge", "stopped")
        .Field("requests_in_flight", m_consumer_server->requests_in_flight())
        .Write();
    StandardOutputBuffer().Flush();
    return absl::OkStatus();
  }

 private:
  static ElectionSettings ElectionOf(const platform::EdgeSettings& settings) {
    ElectionSettings election;
    election.node = settings.node.text();
    election.time_to_live = std::max(election.time_to_live, settings.shortest_store_lease);
    election.processor_share = settings.processor_share;
    return election;
  }

  HttpServerLimits ConsumerLimits() {
    HttpServerLimits limits;
    limits.header_bytes = kHeaderBytes;
    limits.connections = ConnectionsForMemory(
        MemoryOf(m_settings), kHeaderBytes + kConnectionOverheadBytes, kMaxConsumerConnections);
    limits.body_budget = &m_body_budget;
    return limits;
  }

  HttpServerLimits ProbeLimits() {
    HttpServerLimits limits = ConsumerLimits();
    limits.connections = kMaxProbeConnections;
    limits.body_bytes = kMaxProbeBodyBytes;
    return limits;
  }

  absl::StatusOr<std::unique_ptr<AsyncHttpServer>> Listen(const std::string& address,
                                                          const HttpServerLimits& limits,
                                                          AsyncHttpHandler handler) {
    const IpAddress parsed = TRY(ParseIpAddress(address));
    return AsyncHttpServer::Create(*m_loop, parsed.host, parsed.port, limits, std::move(handler));
  }

  void BecomeLeader(Term term) {
    LeaderSettings settings;
    settings.supervisor.longest_lease = m_settings.longest_lease;
    settings.registration_freshness =
        std::max(m_settings.drain_bound / 2, m_settings.drain_bound - kDrainMargin);
    settings.max_heartbeat_age = m_settings.heartbeat_interval + m_settings.heartbeat_interval / 2;
    settings.remote_factor = m_settings.remote_factor;
    // Jobs are kept longer than configured, so that one that has long ended can still be queried.
    constexpr int kRetentionTimes = 2;
    settings.retention = m_settings.retention * kRetentionTimes;
    m_session = LeaderSession::Create(
        LeaderContext{*m_loop, m_store, m_minions, m_schema, m_view, m_election, m_metrics},
        settings, term);
    m_metrics.SetGauge("papayalift_term_token", static_cast<double>(term.token.value()));
    m_session->Start();
  }

  void BecomeFollower() {
    m_metrics.SetGauge("papayalift_term_token", 0);
    if (m_session != nullptr) {
      m_session->Close();
      // The session may be the caller, so it is destroyed only after this loop iteration.
      m_loop->After(Milliseconds(0), [session = std::move(m_session)] {});
    }
  }

  HttpResponse ReadyResponse() const {
    HttpResponse response;
    const bool is_ready = !m_is_stopping && m_view.manifest() != nullptr &&
                          m_election.contact_age() < kMaxStoreContactAge;
    response.status = is_ready ? HttpStatus::kOk : HttpStatus::kUnavailable;
    return response;
  }

  HttpResponse MetricsResponse() {
    m_body_report.Update();
    m_metrics.SetGauge("papayalift_connections", m_consumer_server->connections());
    m_metrics.SetGauge("papayalift_leader", m_election.is_leader() ? 1 : 0);
    m_metrics.SetGauge("papayalift_manifest_age_ms", static_cast<double>(m_view.age().count()));
    m_metrics.SetGauge("papayalift_store_contact_age_ms",
                       static_cast<double>(m_election.contact_age().count()));
    m_metrics.SetGauge("papayalift_timer_delay_ms", static_cast<double>(m_timer_delay.count()));
    m_metrics.SetGauge("papayalift_log_lines_dropped",
                       static_cast<double>(StandardOutputBuffer().dropped()));
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = m_metrics.Text();
    return response;
  }

  void AfterRound() {
    if (StandardOutputBuffer().size() >= kLogFlushBytes) {
      StandardOutputBuffer().Flush();
    }
    if (!m_is_stopping && ProcessSignals::terminations() > 0) {
      BeginStop();
    }
  }

  void RunHousekeeping() {
    if (m_view.manifest() == nullptr) {
      // Without a manifest the node is not ready, so no request would cause it to be read.
      m_view.Confirm(Milliseconds(0), [](Freshness) {});
    }
    m_settings_watcher.ReloadIfChanged();
    ReportTimerDelay();
    m_body_report.Update();
    WriteSuppressedLines();
    StandardOutputBuffer().Flush();
    m_loop->After(kHousekeepingInterval, [this] { RunHousekeeping(); });
  }

  void ReportTimerDelay() {
    m_timer_delay = m_loop->TakeMaxTimerDelay();
    if (m_timer_delay > kMaxTimerDelay) {
      LogEvent(LogLevel::kWarning, "edge", "the event loop is behind")
          .Field("delay_ms", m_timer_delay.count())
          .Field("leader", m_election.is_leader() ? 1 : 0)
          .Write();
    }
  }

  void BeginStop() {
    m_is_stopping = true;
    m_stop_began_at = m_loop->clock().Now();
    LogEvent(LogLevel::kInfo, "edge", "stopping")
        .Field("requests_in_flight", m_consumer_server->requests_in_flight())
        .Field("connections", m_consumer_server->connections())
        .Write();
    m_consumer_server->CloseAfterResponses();
    m_election.Resign();
    ExitWhenIdle();
  }

  /// Requests keep arriving on open connections, and on new ones until the ingress has noticed.
  void ExitWhenIdle() {
    const Milliseconds now = m_loop->clock().Now();
    const bool is_idle = now - m_stop_began_at >= kIngressDrainTime &&
                         m_consumer_server->requests_in_flight() == 0 &&
                         now - m_last_request_at >= kIdleTimeBeforeExit;
    if (is_idle || now - m_stop_began_at >= m_settings.stop_grace - kExitMargin) {
      m_loop->Stop();
      return;
    }
    m_loop->After(kStopPollInterval, [this] { ExitWhenIdle(); });
  }

  const platform::EdgeSettings m_settings;
  EdgeSettingsWatcher m_settings_watcher;
  std::unique_ptr<EventLoop> m_loop;
  Metrics m_metrics;
  BodyBudget m_body_budget;
  BodyBudgetReport m_body_report;
  /// Apart from the calls to minions, so that a leader with thousands of minions to hear from still
  /// notices at once that its term is confirmed or lost.
  AsyncHttpClient m_store_http;
  AsyncHttpClient m_minion_http;
  platform::KvStoreClient m_store;
  platform::MinionClient m_minions;
  platform::PlatformSchema m_schema;
  ManifestView m_view;
  LeaderElection m_election;
  JobRequestHandler m_request_handler;
  std::shared_ptr<LeaderSession> m_session;
  std::unique_ptr<AsyncHttpServer> m_consumer_server;
  std::unique_ptr<AsyncHttpServer> m_ready_server;
  std::unique_ptr<AsyncHttpServer> m_metrics_server;
  bool m_is_stopping = false;
  Milliseconds m_stop_began_at{0};
  Milliseconds m_last_request_at{0};
  /// Largest delay of a timer in the last housekeeping interval.
  Milliseconds m_timer_delay{0};
};

}  // namespace

absl::Status RunEdgeProcess(const platform::EdgeSettings& settings, const std::string& path) {
  static const BootClock kClock;
  InstallBufferedLogSink(LogLevel::kInfo, StandardOutputBuffer());
  EdgeProcess process(settings, path, TRY(EventLoop::Create(kClock)));
  return process.Run();
}

}  // namespace papayalift
