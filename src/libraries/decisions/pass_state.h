/// State shared by the stages of one pass: current and future capacity, quotas, and the decision.
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

  /// All accelerators in service, held by gangs or not.
  const CapacityMap& total() const { return m_total; }
  /// Free now, in all zones in service.
  const CapacityMap& free() const { return m_free; }
  /// Free now, in zones in service that have not changed recently.
  const CapacityMap& stable_free() const { return m_stable_free; }
  /// Free now or once the gangs that are being stopped have ended.
  const CapacityMap& future_free() const { return m_future_free; }

  /// Whether this pass has neither started the job nor decided that it waits.
  bool IsUndecided(const WaitingJob& job) const;
  /// Whether neither this pass nor an earlier one stops the gang.
  bool IsRunning(const GangView& gang) const;

  void Start(const WaitingJob& job, const PlacementChoice& choice, Claim claim, std::string reason);
  void Wait(const WaitingJob& job, WaitCause cause, std::string reason);
  /// `for_job` is empty if the gang is not stopped for another job.
  void Stop(const GangView& gang, StopCause cause, const JobId& for_job, std::string reason);
  /// Charges the quota for a job that will start once other gangs have stopped.
  void ChargeQuota(const WaitingJob& job) { m_quotas.Charge(job); }
  /// Makes accelerators unavailable to all other jobs for the rest of the pass.
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
