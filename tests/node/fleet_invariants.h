/// Invariants of a test fleet, checked after each step.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "node/test_fleet.h"

namespace papayalift {

class FleetInvariants {
 public:
  explicit FleetInvariants(TestFleet& fleet) : m_fleet(fleet) {}

  /// Records that a caller was told that the job is accepted.
  void JobAccepted(const JobId& job) { m_accepted.insert(job); }
  /// Records that a caller was told that the cancellation is accepted.
  void CancelAccepted(const JobId& job) { m_cancelled.insert(job); }
  /// Records that an operator was told that the version is in force.
  void BundleAccepted(BundleVersion version) { m_rolled = std::max(m_rolled, version); }

  /// Describes the first invariant that is violated now; empty where all hold.
  std::string FirstViolation();
  /// As FirstViolation(), for a fleet that has run long enough without faults for all jobs to end.
  std::string FirstViolationAtRest();

 private:
  using Check = std::string (FleetInvariants::*)();

  std::string AcceleratorHeldTwice();
  std::string ConcurrentAttempts();
  std::string GangPartialTooLong();
  std::string StartInOutZone();
  std::string StartedJobCalledNotRun();
  std::string NonIdempotentStartedTwice();
  std::string BundleVersionDecreased();
  std::string AcceptedJobLost();
  std::string SucceededPartially();
  std::string CancellationLost();

  TestFleet& m_fleet;
  std::set<JobId> m_accepted;
  std::set<JobId> m_cancelled;
  /// Successes seen so far; a worker that restarts forgets its own.
  std::map<AttemptId, std::set<WorkerId>> m_succeeded;
  std::map<AttemptId, Milliseconds> m_partial_since;
  std::map<ZoneId, Milliseconds> m_out_since;
  std::size_t m_starts_seen = 0;
  BundleVersion m_rolled;
  std::map<NodeId, BundleVersion> m_in_force;
};

}  // namespace papayalift
