/// What the stages of one pass share: capacity as it is and as it will be, quotas, the decision.
#pragma once

#include <string>
#include <vector>

#include "libraries/decisions/capacity_map.h"
#include "libraries/decisions/decision.h"
#include "libraries/decisions/policy.h"
#include "libraries/decisions/quota_tracker.h"
#include "libraries/decisions/snapshot.h"

namespace papayalift {

class PassState {
 public:
  PassState(const Snapshot& snapshot, const Policy& policy);

  const Snapshot& snapshot() const { return m_snapshot; }
  const Policy& policy() const { return m_policy; }
  const QuotaTracker& quotas() const { return m_quotas; }

  /// No gang held.
  const CapacityMap& total() const { return m_total; }
  /// Free now, in all zones in service.
  const CapacityMap& free() const { return m_free; }
  /// Free now, in zones that have been in service for a while.
  const CapacityMap& stable_free() const { return m_stable_free; }
  /// Free now or once the gangs that are being stopped are gone.
  const CapacityMap& future_free() const { return m_future_free; }

  /// Neither started nor told to wait so far.
  bool IsUndecided(const WaitingJob& job) const;
  /// Not being stopped, neither before nor by this pass.
  bool IsRunning(const GangView& gang) const;

  void Start(const WaitingJob& job, const PlacementChoice& choice, Claim claim, std::string reason);
  void Wait(const WaitingJob& job, WaitCause cause, std::string reason);
  /// `for_job` is empty where the gang is not stopped in favour of another.
  void Stop(const GangView& gang, StopCause cause, const JobId& for_job, std::string reason);
  /// Counts a job that will start once others are gone against its quota.
  void ChargeQuota(const WaitingJob& job) { m_quotas.Charge(job); }
  /// Keeps accelerators from everyone else for the rest of the pass.
  void Allocate(const std::vector<TaskPlacement>& tasks);

  Decision TakeDecision();

 private:
  std::size_t PositionOf(const WaitingJob& job) const;
  std::size_t PositionOf(const GangView& gang) const;

  const Snapshot& m_snapshot;
  const Policy& m_policy;
  QuotaTracker m_quotas;
  CapacityMap m_total;
  CapacityMap m_free;
  CapacityMap m_stable_free;
  CapacityMap m_future_free;
  /// By position in the snapshot.
  std::vector<bool> m_job_decided;
  std::vector<bool> m_gang_stopping;
  Decision m_decision;
};

}  // namespace papayalift
