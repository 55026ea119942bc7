/// First stage of a pass: jobs inside their workspace's unused guarantees, by reclaiming if need
/// be.
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

  /// Urgent jobs first, then by how long they have waited. Jobs that it leaves open have no
  /// guarantee to claim, or none that could be proved.
  void Run();

 private:
  /// Victims and the blocks that become free by stopping them.
  struct ReclaimPlan {
    PlacementChoice blocks;
    VictimChoice choice;
  };

  void ScheduleJob(const WaitingJob& job);
  bool StartOnFreeCapacity(const WaitingJob& job, const GuaranteeClaim& claim,
                           const CapacityMap& free);
  void Start(const WaitingJob& job, const GuaranteeClaim& claim, const PlacementChoice& blocks);
  bool StartBorrowed(const WaitingJob& job);
  /// Adds as many of the workspace's own borrowed gangs as its quota needs to have room for the
  /// job; false where they don't suffice.
  bool AddVictimsForQuota(const WaitingJob& job, std::vector<const GangView*>& victims) const;
  bool Reclaim(const WaitingJob& job, const GuaranteeClaim& claim);
  void StopVictims(const WaitingJob& job, const std::vector<const GangView*>& victims);
  std::optional<ReclaimPlan> BestPlan(const GuaranteeClaim& claim) const;
  std::optional<ReclaimPlan> PlanInZone(const GuaranteeClaim& claim, const ZoneRange& zone,
                                        const CapacityMap& future_free) const;
  /// The plan that a packing of all guarantees gives, however many victims it takes.
  std::optional<ReclaimPlan> PlanFromPacking(const GuaranteeClaim& claim) const;
  std::vector<const GangView*> CandidatesIn(const ZoneId& zone) const;

  PassState& m_state;
  GuaranteeTracker m_tracker;
  /// Claims that found no packing in this pass; their like won't either.
  std::set<std::pair<WorkspaceId, Shape>> m_without_packing;
};

}  // namespace papayalift
