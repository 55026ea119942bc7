/// What must always hold of a test fleet, looked at after each step.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "node/test_fleet.h"

namespace papayalift {

class FleetChecks {
 public:
  explicit FleetChecks(TestFleet& fleet) : m_fleet(fleet) {}

  /// A caller was told that the job is accepted.
  void Accepted(const JobId& job) { m_accepted.insert(job); }
  /// A caller was told that the cancellation is taken.
  void CancelPromised(const JobId& job) { m_cancelled.insert(job); }
  /// An operator was told that the version is in force.
  void BundleAccepted(BundleVersion version) { m_rolled = std::max(m_rolled, version); }

  /// The first promise that is broken now; empty where all hold.
  std::string Broken();
  /// As Broken(), for a fleet that has had time enough without faults.
  std::string BrokenAtRest();

 private:
  using Check = std::string (FleetChecks::*)();

  std::string AcceleratorHeldTwice();
  std::string TwoAttemptsAtOnce();
  std::string GangPartialForLong();
  std::string StartInZoneOut();
  std::string NotRunThatRan();
  std::string NonIdempotentTwice();
  std::string BundleFallen();
  std::string AcceptedJobLost();
  std::string SucceededInPart();
  std::string CancelForgotten();

  TestFleet& m_fleet;
  std::set<JobId> m_accepted;
  std::set<JobId> m_cancelled;
  /// Ends of attempts that were seen; a worker that restarts forgets its own.
  std::map<AttemptId, std::set<WorkerId>> m_succeeded;
  std::map<AttemptId, Milliseconds> m_partial_since;
  std::map<ZoneId, Milliseconds> m_out_since;
  std::size_t m_starts_seen = 0;
  BundleVersion m_rolled;
  std::map<NodeId, BundleVersion> m_in_force;
};

}  // namespace papayalift
