/// Which guaranteed shapes are in use, and whether those that are not can still be reclaimed.
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
  /// What it takes of the guaranteed shape.
  Shape blocks;
};

class GuaranteeTracker {
 public:
  /// Counts each guaranteed gang in a zone in service. A gang beyond what the bundle in force
  /// guarantees counts as borrowed. `empty` is the capacity without gangs.
  GuaranteeTracker(const Snapshot& snapshot, const CapacityMap& total);

  /// Nothing where the workspace has no unused guarantee of the job's kind.
  std::optional<GuaranteeClaim> ClaimFor(const WaitingJob& job) const;

  /// Whether all other unused guarantees could be reclaimed while `blocks` are taken.
  bool LeavesOthersReclaimable(const GuaranteeClaim& claim, const ZoneId& zone,
                               const std::vector<TaskPlacement>& blocks) const;

  /// Blocks that leave every other unused guarantee reclaimable, taken from a packing; nothing
  /// where there is no packing. Borrowed gangs may sit on them.
  std::optional<std::pair<ZoneId, std::vector<TaskPlacement>>> FindReclaimableBlocks(
      const GuaranteeClaim& claim) const;

  void Allocate(const GuaranteeClaim& claim, const ZoneId& zone,
                const std::vector<TaskPlacement>& blocks);

  bool IsGuaranteed(const JobId& job) const { return m_guaranteed.contains(job); }

  /// Free or borrowed: what no guaranteed gang holds.
  const CapacityMap& reclaimable() const { return m_reclaimable; }
  /// What must have a place in reclaimable().
  const std::vector<Demand>& unused() const { return m_unused; }

 private:
  using GuaranteeKey = std::pair<WorkspaceId, Shape>;

  void CountGang(const Snapshot& snapshot, const GangView& gang);
  std::vector<Demand> UnusedWith(const GuaranteeClaim& claim, const ZoneId& zone) const;
  std::size_t ZonePosition(const ZoneId& zone) const;

  std::map<WorkspaceId, const WorkspaceSpec*> m_workspaces;
  std::map<GuaranteeKey, int> m_unused_counts;
  std::vector<Demand> m_unused;
  std::set<JobId> m_guaranteed;
  CapacityMap m_reclaimable;
};

}  // namespace papayalift
