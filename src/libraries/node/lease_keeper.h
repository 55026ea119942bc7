/// Renews the run leases of the gangs that this node owns, on a thread of its own, and acts on the
/// workers' reports.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/gang_context.h"
#include "libraries/node/gang_records.h"
#include "libraries/node/membership.h"
#include "libraries/node/renewal_rule.h"
#include "libraries/node/session_runner.h"

namespace papayalift {

class LeaseKeeper {
 public:
  LeaseKeeper(const GangContext& context, const FleetState& state, const Membership& membership,
              StoreProgress& progress, const NodeId& self, SessionRunner& runner,
              Milliseconds renewal_interval);
  ~LeaseKeeper() { Stop(); }

  void Start();
  void Stop();

  /// Renews the leases of all gangs that are due, once; public for tests.
  void RenewLeases();

 private:
  /// One gang's renewal in a round, and the reports of its workers.
  struct Renewal {
    std::shared_ptr<const Versioned<PlacementRecord>> placement;
    std::shared_ptr<const Versioned<JobRecord>> job;
    std::vector<WorkerShare> shares;
    std::vector<AttemptReport> reports;
    int silent_workers = 0;
  };

  /// State kept per gang between rounds.
  struct RenewalState {
    Milliseconds first_seen{0};
    Milliseconds renewed_at{0};
    /// When the last round was sent in which every worker answered.
    Milliseconds all_answered_at{0};
    /// As all_answered_at, but one run lease in the past until all workers have answered this node.
    /// Leases count from here, so that no node renews a gang that lost a task beyond one run lease,
    /// even where its stop can't be recorded.
    Milliseconds lease_start{0};
  };

  void Run();
  std::vector<Renewal> DueRenewals(const FleetView& view, const RenewalBasis& basis);
  bool IsDue(const RenewalState& state) const;
  Milliseconds LeaseOf(const Renewal& renewal, const RenewalBasis& basis) const;
  void SendRenewals(std::vector<Renewal>& renewals, const RenewalBasis& basis);
  void ActOnReports(const Renewal& renewal);
  void StopGang(const Renewal& renewal, AfterStop after_stop, const std::string& reason);

  const GangContext m_context;
  const FleetState& m_state;
  const Membership& m_membership;
  StoreProgress& m_progress;
  const NodeId m_self;
  SessionRunner& m_runner;
  const Milliseconds m_renewal_interval;
  std::map<AttemptId, RenewalState> m_renewal_states;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
