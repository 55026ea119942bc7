/// First stage of a pass: jobs inside their workspace's unused guarantees, by reclaiming if need
/// be.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/decisions/guarantee_book.h"
#include "libraries/decisions/pass_state.h"
#include "libraries/decisions/reclaim.h"

namespace papayalift {

class GuaranteeStage {
 public:
  explicit GuaranteeStage(PassState& state);

  /// Jobs that it leaves open have no guarantee to claim, or none that could be proved.
  void Run(const std::vector<const WaitingJob*>& order);

 private:
  /// Victims and the blocks that become free by stopping them.
  struct Plan {
    PlacementChoice blocks;
    VictimChoice choice;
  };

  void Consider(const WaitingJob& job);
  bool StartOnFree(const WaitingJob& job, const GuaranteeClaim& claim, const CapacityMap& free);
  bool StartBorrowed(const WaitingJob& job);
  bool Reclaim(const WaitingJob& job, const GuaranteeClaim& claim);
  std::optional<Plan> BestPlan(const GuaranteeClaim& claim) const;
  std::optional<Plan> PlanInZone(const GuaranteeClaim& claim, const ZoneRange& zone,
                                 const CapacityMap& arriving) const;
  /// The plan that a packing of all guarantees gives, however many victims it takes.
  std::optional<Plan> ProvenPlan(const GuaranteeClaim& claim) const;
  std::vector<const GangView*> CandidatesIn(const ZoneId& zone) const;

  PassState& m_state;
  GuaranteeBook m_book;
  /// Claims that found no packing in this pass; their like won't either.
  std::set<std::pair<WorkspaceId, Shape>> m_unproved;
};

}  // namespace papayalift
