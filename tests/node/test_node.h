/// One entry node without threads: the test runs each of its loops step by step.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "libraries/node/bundle_manager.h"
#include "libraries/node/job_manager.h"
#include "libraries/node/lease_keeper.h"
#include "libraries/node/node_registry.h"
#include "libraries/node/scheduler.h"
#include "libraries/node/state_follower.h"
#include "libraries/node/stopping_attempts.h"
#include "libraries/node/store_probe.h"
#include "libraries/node/zone_manager.h"
#include "node/faulty_gateway.h"
#include "node/faulty_store.h"

namespace papayalift {

inline constexpr Milliseconds kViewLimit{1'500};
inline constexpr Milliseconds kReservationLease{1'500};
inline constexpr Milliseconds kRunLease{15'000};
inline constexpr Milliseconds kRenewalInterval{3'000};

/// Membership whose live nodes are set by the test. The peers' contact with the store still comes
/// from heartbeats.
class FixedMembership final : public Membership {
 public:
  using Membership::Membership;

  std::vector<NodeId> LiveNodes(const FleetView& /*view*/) const override { return m_live; }
  void SetLive(std::vector<NodeId> live) { m_live = std::move(live); }

 private:
  std::vector<NodeId> m_live;
};

class TestNode {
 public:
  TestNode(const NodeId& id, const std::string& incarnation, const Clock& clock, MemoryStore& store,
           FakeWorkerPool& worker_pool);

  /// Writes this node's record.
  absl::Status Register() { return m_registry.Register(); }
  /// Probes the store and applies all its changes, if it can be reached.
  void Follow();
  void RunPass() { m_scheduler.RunPass(); }
  void RenewLeases() { m_lease_keeper.RenewLeases(); }
  /// Runs one step of one session; false where none is due.
  bool Step() { return m_runner.RunDueStep(); }
  /// Runs Follow(), RunPass() and RenewLeases(), then steps until no session is due.
  void RunCycle();

  FaultyStore& store() { return m_store; }
  FaultyGateway& workers() { return m_workers; }
  FixedMembership& membership() { return m_membership; }
  FleetState& state() { return m_state; }
  ViewGuard& view() { return m_view; }
  SessionRunner& runner() { return m_runner; }
  JobManager& jobs() { return m_jobs; }
  ZoneManager& zones() { return m_zones; }
  BundleManager& bundles() { return m_bundles; }
  const GangContext& context() const { return m_context; }
  const NodeId& id() const { return m_id; }

 private:
  const NodeId m_id;
  FaultyStore m_store;
  FaultyGateway m_workers;
  Metrics m_metrics;
  FleetState m_state;
  StoreProgress m_progress;
  StoreProbe m_probe;
  FixedMembership m_membership;
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
};

}  // namespace papayalift
