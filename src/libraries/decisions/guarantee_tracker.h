/// Tracks which guaranteed shapes are in use and whether the unused ones can still be reclaimed.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libraries/decisions/capacity_map.h"
#include "libraries/decisions/packing.h"

namespace papayalift {

/// How a waiting job would count against its workspace's guarantees.
struct GuaranteeClaim {
  WorkspaceId workspace;
  Shape guaranteed;
  /// The blocks of the guaranteed shape that the job would use.
  Shape blocks;
};

class GuaranteeTracker {
 public:
  /// Counts each guaranteed gang in a zone in service. A gang beyond what the bundle in force
  /// guarantees counts as borrowed. `total` is the capacity without gangs.
  GuaranteeTracker(const Snapshot& snapshot, const CapacityMap& total);

  /// Returns nullopt if no guaranteed shape holds the job or all of the shape it counts against are
  /// in use.
  std::optional<GuaranteeClaim> ClaimFor(const WaitingJob& job) const;

  /// Whether all other unused guarantees could be reclaimed with `blocks` allocated to the claim.
  bool LeavesOthersReclaimable(const GuaranteeClaim& claim, const ZoneId& zone,
                               const std::vector<TaskPlacement>& blocks) const;

  /// Blocks for the claim, taken from a packing, that leave all other unused guarantees
  /// reclaimable; nullopt if none are found. Borrowed gangs may occupy them.
  std::optional<std::pair<ZoneId, std::vector<TaskPlacement>>> FindReclaimableBlocks(
      const GuaranteeClaim& claim) const;

  void Allocate(const GuaranteeClaim& claim, const ZoneId& zone,
                const std::vector<TaskPlacement>& blocks);

  bool IsGuaranteed(const JobId& job) const { return m_guaranteed.contains(job); }

  /// Accelerators that no guaranteed gang holds: free or borrowed.
  const CapacityMap& reclaimable() const { return m_reclaimable; }
  /// The demands that must fit into reclaimable().
  const std::vector<Demand>& unused() const { return m_unused; }

 private:
  using GuaranteeKey = std::pair<WorkspaceId, Shape>;

  void CountGang(const Snapshot& snapshot, const GangView& gang);
  std::vector<Demand> UnusedAfterAllocating(const GuaranteeClaim& claim, const ZoneId& zone) const;
  std::size_t ZonePosition(const ZoneId& zone) const;

  std::map<WorkspaceId, const WorkspaceSpec*> m_workspaces;
  std::map<GuaranteeKey, int> m_unused_counts;
  std::vector<Demand> m_unused;
  std::set<JobId> m_guaranteed;
  CapacityMap m_reclaimable;
};

}  // namespace papayalift
