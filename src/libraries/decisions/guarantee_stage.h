/// First stage of a pass: starts jobs within their workspace's unused guarantees, if necessary by
/// reclaiming accelerators.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/decisions/guarantee_tracker.h"
#include "libraries/decisions/pass_state.h"
#include "libraries/decisions/victim_choice.h"

namespace papayalift {

class GuaranteeStage {
 public:
  explicit GuaranteeStage(PassState& state);

  /// Considers urgent jobs first, then those that have waited longest. Jobs that it leaves
  /// undecided have no guarantee to claim or none that can be reclaimed now.
  void Run();

 private:
  /// Victims, and the blocks that are free once they have stopped.
  struct ReclaimPlan {
    PlacementChoice blocks;
    VictimChoice choice;
  };

  void ScheduleJob(const WaitingJob& job);
  bool StartOnFreeCapacity(const WaitingJob& job, const GuaranteeClaim& claim,
                           const CapacityMap& free);
  void Start(const WaitingJob& job, const GuaranteeClaim& claim, const PlacementChoice& blocks);
  bool StartBorrowed(const WaitingJob& job);
  /// Adds as many of the workspace's own borrowed gangs as must stop for the job to be within
  /// quota; false if stopping all of them is not enough.
  bool AddVictimsForQuota(const WaitingJob& job, std::vector<const GangView*>& victims) const;
  bool Reclaim(const WaitingJob& job, const GuaranteeClaim& claim);
  void StopVictims(const WaitingJob& job, const std::vector<const GangView*>& victims);
  std::optional<ReclaimPlan> BestPlan(const GuaranteeClaim& claim) const;
  std::optional<ReclaimPlan> PlanInZone(const GuaranteeClaim& claim, const ZoneRange& zone,
                                        const CapacityMap& future_free) const;
  /// A plan derived from a packing of all guarantees, regardless of the number of victims.
  std::optional<ReclaimPlan> PlanFromPacking(const GuaranteeClaim& claim) const;
  std::vector<const GangView*> CandidatesIn(const ZoneId& zone) const;

  PassState& m_state;
  GuaranteeTracker m_tracker;
  /// Jobs that found neither a packing nor free capacity in this pass; equal ones won't either.
  std::set<std::pair<WorkspaceId, Shape>> m_unplaceable;
};

}  // namespace papayalift
