#include "libraries/node/entry_node.h"

#include <fmt/format.h>

#include <atomic>
#include <utility>

#include "libraries/base/boot_clock.h"
#include "libraries/base/hash.h"
#include "libraries/base/try.h"
#include "libraries/http/body_budget.h"
#include "libraries/http/body_budget_report.h"
#include "libraries/log/log_event.h"
#include "libraries/membership/vm_list_follower.h"
#include "libraries/node/api_server.h"
#include "libraries/node/hold_gate.h"
#include "libraries/node/lease_keeper.h"
#include "libraries/node/membership.h"
#include "libraries/node/node_registry.h"
#include "libraries/node/operator_change_store.h"
#include "libraries/node/ownership.h"
#include "libraries/node/state_follower.h"
#include "libraries/node/stopping_attempts.h"
#include "libraries/node/store_probe.h"
#include "libraries/peers/peer_mesh.h"
#include "libraries/settings/ip_address.h"
#include "libraries/store/etcd_gateway_client.h"
#include "libraries/worker/http_worker_gateway.h"

namespace papayalift {

namespace {

constexpr std::size_t kMaxSessions = 1'024;
constexpr Milliseconds kRegisterInterval{500};
/// A node that has been silent for this long is removed from the registry; it registers again by
/// itself. Until it is removed, an outage of the key-value service ends the lease renewals, since
/// they need a heartbeat of every registered node.
constexpr Milliseconds kSilentNodeRemovalTime{15'000};
/// As above, for a node whose VM the platform reports as gone.
constexpr Milliseconds kGoneNodeRemovalTime{3'000};
constexpr Milliseconds kDrainPollInterval{50};
/// A load balancer keeps sending requests until its next health check; a node that stops listening
/// before then would cut them.
constexpr Milliseconds kDrainIdleTime{1'500};

constexpr std::size_t kBytesPerMegabyte = 1024UL * 1024;
/// Resident part of the stack of a connection's thread, and what the connection holds beside its
/// headers.
constexpr std::size_t kConnectionOverheadBytes = 32UL * 1024;

std::size_t MemoryOf(const NodeSettings& settings) {
  return static_cast<std::size_t>(settings.memory_megabytes) * kBytesPerMegabyte;
}

BodyBudgetLimits BodyLimitsOf(const NodeSettings& settings) {
  // Callers must not crowd out heartbeats, so the channels between nodes have a fixed part.
  BodyBudgetLimits limits =
      BodyBudgetLimits::ForMemory(MemoryOf(settings) - PeerLimits{}.MaxBytes());
  limits.min_bytes_per_second = static_cast<std::size_t>(settings.min_body_rate);
  return limits;
}

NodeRecord RecordOf(const NodeSettings& settings, const Clock& clock,
                    const std::string& incarnation, const std::string& peer_address) {
  NodeRecord record;
  record.id = settings.id;
  record.zone = settings.zone;
  record.api_address = settings.api_address;
  record.peer_address = peer_address;
  record.incarnation = incarnation;
  record.registered_at = clock.WallNow();
  return record;
}

}  // namespace

/// Members are declared in construction order: each after the members that it uses.
class EntryNode::Impl {
 public:
  Impl(const NodeSettings& settings, std::unique_ptr<BootClock> clock,
       std::unique_ptr<PeerMesh> mesh)
      : m_settings(settings),
        m_incarnation(NewIncarnation()),
        m_own_clock(std::move(clock)),
        m_clock(*m_own_clock),
        m_body_budget(m_clock, BodyLimitsOf(settings)),
        m_body_report(m_clock, m_body_budget, m_metrics),
        m_client(std::make_shared<HttpClient>()),
        m_store(settings.store_address, settings.store_limit, m_client),
        m_workers(settings.worker_limit, m_client),
        m_vm_follower(settings.membership_address, m_client, m_vms),
        m_progress(m_clock),
        m_probe(m_clock, m_store, m_progress),
        m_membership(m_clock, NodeIdentity{settings.id, m_incarnation}, m_state, m_progress),
        m_mesh(std::move(mesh)),
        m_promises(m_clock, m_progress),
        m_hold_gate(m_state, m_membership, m_promises, m_metrics),
        m_change_store(m_clock, m_store, m_state, m_membership, m_promises),
        m_view(m_clock, m_store, settings.view_limit),
        m_audit(m_clock, settings.id),
        m_attempt_ids(settings.id, m_incarnation),
        m_registry(m_store, m_audit, RecordOf(settings, m_clock, m_incarnation, m_mesh->address())),
        m_runner(m_clock, kMaxSessions),
        m_context{m_clock,
                  m_store,
                  m_workers,
                  m_view,
                  m_audit,
                  m_metrics,
                  settings.reservation_lease,
                  settings.run_lease,
                  &m_vms},
        m_follower(m_store, m_state, m_view, m_metrics),
        m_scheduler(m_context, m_state, m_membership, settings.id, m_attempt_ids, m_runner),
        m_lease_keeper(m_context, m_state, m_membership, m_progress, settings.id, m_runner,
                       settings.renewal_interval),
        m_jobs(m_clock, m_store, m_state, m_audit),
        m_zones(m_change_store, m_state, m_audit),
        m_bundles(m_clock, m_change_store, m_audit),
        m_calls(m_clock, m_view, m_client, m_metrics, Hash64(m_incarnation)) {}

  ~Impl() { StopThreads(); }

  absl::Status Start() {
    const IpAddress address = TRY(ParseIpAddress(m_settings.api_address));
    HttpServerLimits limits;
    limits.connections =
        ConnectionsForMemory(MemoryOf(m_settings), limits.header_bytes + kConnectionOverheadBytes,
                             static_cast<unsigned int>(m_settings.max_connections));
    limits.body_budget = &m_body_budget;
    const ApiDependencies parts{m_settings.id, m_clock,      m_state,   m_store,
                                m_jobs,        m_zones,      m_bundles, m_calls,
                                m_scheduler,   m_membership, m_metrics, m_settings.call_limit};
    m_api = TRY(ApiServer::Create(address.host, address.port, limits, parts));
    m_runner.Start(m_settings.start_threads);
    m_follower.Start();
    m_probe.Start();
    m_vm_follower.Start();
    m_calls.SetVmList(m_vms);
    m_membership.SetHoldPromises(m_promises);
    m_view.SetHoldAdmission(m_hold_gate);
    m_membership.SetStoppingAttempts(
        [this](const FleetView& view) { return StoppingAttempts(view, m_runner); });
    m_mesh->Start(m_membership);
    m_registration.Start([this] { MaintainRegistration(); });
    m_scheduler.Start();
    m_lease_keeper.Start();
    LogEvent(LogLevel::kInfo, "entry_node", "serving")
        .Field("node", m_settings.id.text())
        .Field("api_port", m_api->port())
        .Write();
    return absl::OkStatus();
  }

  StopOutcome Stop() {
    m_api->BeginDrain();
    m_membership.Leave();
    m_mesh->SendHeartbeatsNow();
    m_state.Wake();
    m_scheduler.Stop();
    const Milliseconds deadline = m_clock.Now() + m_settings.stop_limit;
    WaitUntilIdle(deadline);
    m_api->StopListening();
    while (!IsDrained() && MayWait(deadline)) {
      m_stop.WaitFor(kDrainPollInterval);
    }
    const StopOutcome outcome = IsDrained() ? StopOutcome::kClean : StopOutcome::kForced;
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

  void ForceStop() { m_force_stop = true; }

  std::uint16_t api_port() const { return m_api->port(); }

 private:
  /// Waits until nothing is in flight and no request has come in for kDrainIdleTime.
  void WaitUntilIdle(Milliseconds deadline) {
    std::int64_t requests = m_api->work_requests();
    Milliseconds quiet_since = m_clock.Now();
    while ((!IsDrained() || m_clock.Now() - quiet_since < kDrainIdleTime) && MayWait(deadline)) {
      m_stop.WaitFor(kDrainPollInterval);
      if (m_api->work_requests() != requests) {
        requests = m_api->work_requests();
        quiet_since = m_clock.Now();
      }
    }
  }

  bool MayWait(Milliseconds deadline) const { return !m_force_stop && m_clock.Now() < deadline; }

  bool IsDrained() const { return m_api->requests_in_flight() == 0 && m_runner.size() == 0; }

  void MaintainRegistration() {
    while (!m_stop.raised()) {
      const std::shared_ptr<const FleetView> view = m_state.View();
      if (!m_registered) {
        m_registered = m_registry.Register().ok();
      } else if (m_state.synchronized()) {
        CheckOwnRecord(*view);
        RemoveSilentNodes(*view);
      }
      UpdateGauges(*view);
      m_stop.WaitFor(kRegisterInterval);
    }
  }

  /// Triggers a new registration where peers have removed the record of this node while they did
  /// not hear it.
  void CheckOwnRecord(const FleetView& view) {
    const auto own = view.nodes.find(m_settings.id);
    if (own != view.nodes.end()) {
      m_record_seen = own->second->value.incarnation == m_incarnation;
    } else if (m_record_seen) {
      m_record_seen = false;
      m_registered = false;
    }
  }

  void RemoveSilentNodes(const FleetView& view) {
    const auto own = view.nodes.find(m_settings.id);
    const bool registered =
        own != view.nodes.end() && own->second->value.incarnation == m_incarnation;
    if (!registered) {
      return;
    }
    const std::vector<NodeId> live = m_membership.LiveNodes(view);
    for (const SilentNode& node : m_membership.NodesSilentFor(view, kGoneNodeRemovalTime)) {
      const bool gone = m_vms.StateOf(node.id.text()) == VmState::kGone;
      if (!gone && node.silence < kSilentNodeRemovalTime) {
        continue;
      }
      // Where no node serves yet, any may remove it: only one can commit, since Remove() compares
      // the revisions.
      if (live.empty() || OwnerOf(JobId(node.id.text()), live) == m_settings.id) {
        LogEvent(LogLevel::kWarning, "entry_node", "removing a silent node from the registry")
            .Field("node", node.id.text())
            .Write();
        static_cast<void>(m_registry.Remove(node, own->second->modified));
      }
    }
  }

  void UpdateGauges(const FleetView& view) {
    m_body_report.Update();
    m_metrics.SetGauge("papayalift_store_calls_total", static_cast<double>(m_store.calls()));
    m_metrics.SetGauge("papayalift_peer_sent_bytes_total",
                       static_cast<double>(m_mesh->bytes_sent()));
    m_metrics.SetGauge("papayalift_peer_received_bytes_total",
                       static_cast<double>(m_mesh->bytes_received()));
    m_metrics.SetGauge("papayalift_requests_in_flight", m_api->requests_in_flight());
    m_metrics.SetGauge("papayalift_leaving_vms", static_cast<double>(m_vms.leaving()));
    m_metrics.SetGauge("papayalift_live_nodes",
                       static_cast<double>(m_membership.LiveNodes(view).size()));
  }

  void StopThreads() {
    m_stop.Raise();
    m_api.reset();
    m_registration.Join();
    m_mesh->Stop();
    m_probe.Stop();
    m_vm_follower.Stop();
    m_lease_keeper.Stop();
    m_scheduler.Stop();
    m_runner.Stop();
    m_follower.Stop();
  }

  const NodeSettings m_settings;
  const std::string m_incarnation;
  const std::unique_ptr<BootClock> m_own_clock;
  const Clock& m_clock;
  Metrics m_metrics;
  BodyBudget m_body_budget;
  BodyBudgetReport m_body_report;
  const std::shared_ptr<HttpClient> m_client;
  EtcdGatewayClient m_store;
  HttpWorkerGateway m_workers;
  FleetState m_state;
  VmList m_vms;
  VmListFollower m_vm_follower;
  StoreProgress m_progress;
  StoreProbe m_probe;
  Membership m_membership;
  const std::unique_ptr<PeerMesh> m_mesh;
  HoldPromises m_promises;
  HoldGate m_hold_gate;
  OperatorChangeStore m_change_store;
  ViewGuard m_view;
  AuditWriter m_audit;
  AttemptIdGenerator m_attempt_ids;
  NodeRegistry m_registry;
  SessionRunner m_runner;
  const GangContext m_context;
  StateFollower m_follower;
  Scheduler m_scheduler;
  LeaseKeeper m_lease_keeper;
  JobManager m_jobs;
  ZoneManager m_zones;
  BundleManager m_bundles;
  CallRouter m_calls;
  std::unique_ptr<ApiServer> m_api;
  StopSignal m_stop;
  std::atomic<bool> m_force_stop{false};
  /// Only used on the registration thread.
  bool m_registered = false;
  bool m_record_seen = false;
  JoiningThread m_registration;
};

EntryNode::EntryNode(std::unique_ptr<Impl> parts) : m_impl(std::move(parts)) {}

EntryNode::~EntryNode() = default;

absl::StatusOr<std::unique_ptr<EntryNode>> EntryNode::Create(const NodeSettings& settings) {
  std::unique_ptr<BootClock> clock = std::make_unique<BootClock>();
  std::unique_ptr<PeerMesh> mesh =
      TRY(PeerMesh::Create(*clock, settings.id, settings.peer_address, PeerLimits{}));
  std::unique_ptr<Impl> parts = std::make_unique<Impl>(settings, std::move(clock), std::move(mesh));
  TRY(parts->Start());
  return std::unique_ptr<EntryNode>(new EntryNode(std::move(parts)));
}

std::uint16_t EntryNode::api_port() const { return m_impl->api_port(); }

StopOutcome EntryNode::Stop() { return m_impl->Stop(); }

void EntryNode::ForceStop() { m_impl->ForceStop(); }

}  // namespace papayalift
