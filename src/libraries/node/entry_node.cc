#include "libraries/node/entry_node.h"

#include <fmt/format.h>

#include <atomic>
#include <utility>

#include "libraries/base/boot_clock.h"
#include "libraries/base/hash.h"
#include "libraries/base/try.h"
#include "libraries/log/log_event.h"
#include "libraries/node/api_server.h"
#include "libraries/node/lease_keeper.h"
#include "libraries/node/node_registry.h"
#include "libraries/node/state_follower.h"
#include "libraries/settings/ip_address.h"
#include "libraries/store/etcd_gateway_client.h"
#include "libraries/worker/http_worker_gateway.h"

namespace papayalift {

namespace {

constexpr std::size_t kMostSessions = 1'024;
constexpr Milliseconds kRegisterInterval{500};
constexpr Milliseconds kDrainPollInterval{50};

NodeRecord RecordOf(const NodeSettings& settings, const Clock& clock,
                    const std::string& incarnation) {
  NodeRecord record;
  record.id = settings.id;
  record.zone = settings.zone;
  record.api_address = settings.api_address;
  record.peer_address = settings.peer_address;
  record.incarnation = incarnation;
  record.registered_at = clock.WallNow();
  return record;
}

}  // namespace

/// The order of the members is the order of construction: whoever uses comes after what it uses.
class EntryNode::Parts {
 public:
  explicit Parts(const NodeSettings& settings)
      : m_settings(settings),
        m_incarnation(NewIncarnation()),
        m_client(std::make_shared<HttpClient>()),
        m_store(settings.store_address, settings.store_limit, m_client),
        m_workers(settings.worker_limit, m_client),
        m_view(m_clock, m_store, settings.view_limit),
        m_audit(m_clock, settings.id),
        m_namer(settings.id, m_incarnation),
        m_registry(m_store, m_audit, RecordOf(settings, m_clock, m_incarnation)),
        m_runner(m_clock, kMostSessions),
        m_context{m_clock,
                  m_store,
                  m_workers,
                  m_view,
                  m_audit,
                  m_metrics,
                  settings.reservation_lease,
                  settings.run_lease},
        m_follower(m_store, m_state, m_view, m_metrics),
        m_scheduler(m_context, m_state, m_registry, settings.id, m_namer, m_runner),
        m_lease_keeper(m_context, m_state, m_registry, settings.id, m_runner,
                       settings.renewal_interval),
        m_jobs(m_clock, m_store, m_state, m_audit),
        m_zones(m_store, m_state, m_audit),
        m_bundles(m_clock, m_store, m_audit),
        m_calls(m_clock, m_view, m_client, m_metrics, Hash64(m_incarnation)) {}

  ~Parts() { StopThreads(); }

  absl::Status Start() {
    const IpAddress address = TRY(ParseIpAddress(m_settings.api_address));
    HttpServerLimits limits;
    limits.connections = static_cast<unsigned int>(m_settings.largest_connection_count);
    const ApiParts parts{m_settings.id, m_clock,    m_state,   m_store,
                         m_jobs,        m_zones,    m_bundles, m_calls,
                         m_scheduler,   m_registry, m_metrics, m_settings.call_limit};
    m_api = TRY(ApiServer::Create(address.host, address.port, limits, parts));
    m_runner.Start(m_settings.start_threads);
    m_follower.Start();
    m_registration.Start([this] { KeepRegistering(); });
    m_scheduler.Start();
    m_lease_keeper.Start();
    LogEvent(LogLevel::kInfo, "entry_node", "serving")
        .Field("node", m_settings.id.text())
        .Field("api_port", m_api->port())
        .Write();
    return absl::OkStatus();
  }

  StopOutcome Stop() {
    m_api->Withdraw();
    m_state.Wake();
    m_scheduler.Stop();
    const Milliseconds deadline = m_clock.Now() + m_settings.stop_limit;
    while (!IsDrained() && !m_hurry && m_clock.Now() < deadline) {
      m_stop.WaitFor(kDrainPollInterval);
    }
    const StopOutcome outcome = IsDrained() ? StopOutcome::kClean : StopOutcome::kGaveUp;
    LogEvent(LogLevel::kInfo, "entry_node", "leaving")
        .Field("requests_cut", m_api->requests_in_flight())
        .Field("sessions_handed_over", static_cast<std::int64_t>(m_runner.size()))
        .Write();
    m_stop.Raise();
    m_registration.Join();
    const absl::Status left = m_registry.Deregister();
    if (!left.ok()) {
      LogEvent(LogLevel::kWarning, "entry_node", "still registered")
          .Reason(std::string(left.message()))
          .Write();
    }
    StopThreads();
    return outcome;
  }

  void Hurry() { m_hurry = true; }

  std::uint16_t api_port() const { return m_api->port(); }

 private:
  bool IsDrained() const { return m_api->requests_in_flight() == 0 && m_runner.size() == 0; }

  void KeepRegistering() {
    while (!m_stop.raised()) {
      if (m_registry.Register().ok()) {
        return;
      }
      m_stop.WaitFor(kRegisterInterval);
    }
  }

  void StopThreads() {
    m_stop.Raise();
    m_api.reset();
    m_registration.Join();
    m_lease_keeper.Stop();
    m_scheduler.Stop();
    m_runner.Stop();
    m_follower.Stop();
  }

  const NodeSettings m_settings;
  const std::string m_incarnation;
  BootClock m_clock;
  Metrics m_metrics;
  const std::shared_ptr<HttpClient> m_client;
  EtcdGatewayClient m_store;
  HttpWorkerGateway m_workers;
  FleetState m_state;
  ViewGuard m_view;
  AuditWriter m_audit;
  AttemptNamer m_namer;
  NodeRegistry m_registry;
  SessionRunner m_runner;
  const GangContext m_context;
  StateFollower m_follower;
  Scheduler m_scheduler;
  LeaseKeeper m_lease_keeper;
  JobDesk m_jobs;
  ZoneDesk m_zones;
  BundleDesk m_bundles;
  CallRouter m_calls;
  std::unique_ptr<ApiServer> m_api;
  StopSignal m_stop;
  std::atomic<bool> m_hurry{false};
  DutyThread m_registration;
};

EntryNode::EntryNode(std::unique_ptr<Parts> parts) : m_parts(std::move(parts)) {}

EntryNode::~EntryNode() = default;

absl::StatusOr<std::unique_ptr<EntryNode>> EntryNode::Create(const NodeSettings& settings) {
  std::unique_ptr<Parts> parts = std::make_unique<Parts>(settings);
  TRY(parts->Start());
  return std::unique_ptr<EntryNode>(new EntryNode(std::move(parts)));
}

std::uint16_t EntryNode::api_port() const { return m_parts->api_port(); }

StopOutcome EntryNode::Stop() { return m_parts->Stop(); }

void EntryNode::HurryStop() { m_parts->Hurry(); }

}  // namespace papayalift
