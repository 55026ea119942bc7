#include "libraries/decisions/guarantee_tracker.h"

#include <algorithm>
#include <tuple>

#include "libraries/decisions/guaranteed_shape.h"
#include "libraries/decisions/placer.h"

namespace papayalift {

namespace {

bool IsInService(const ZoneId& zone, const Snapshot& snapshot) {
  return snapshot.zones.StateOf(zone) == ZoneState::kIn;
}

/// The blocks of the guaranteed shape that a smaller gang does not use. They stay guaranteed in the
/// gang's zone.
std::optional<Demand> UnusedBlocks(const GuaranteeClaim& claim, std::size_t zone) {
  const TaskCount missing = claim.guaranteed.tasks - claim.blocks.tasks;
  if (missing <= TaskCount(0)) {
    return std::nullopt;
  }
  return Demand{claim.workspace, Shape{missing, claim.guaranteed.accelerators_per_task}, zone};
}

/// Allocates demands in one zone of `capacity`, the largest tasks first.
void AllocateDemands(std::vector<Demand> demands, const ZoneRange& zone, CapacityMap& capacity) {
  std::stable_sort(demands.begin(), demands.end(), [](const Demand& left, const Demand& right) {
    return left.shape.accelerators_per_task > right.shape.accelerators_per_task;
  });
  for (const Demand& demand : demands) {
    std::vector<TaskPlacement> tasks;
    for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
      FillWorker(capacity.workers()[position], demand.shape, tasks);
    }
    capacity.Allocate(tasks);
  }
}

}  // namespace

GuaranteeTracker::GuaranteeTracker(const Snapshot& snapshot, const CapacityMap& total)
    : m_reclaimable(total) {
  for (const WorkspaceSpec& workspace : snapshot.workspaces) {
    m_workspaces[workspace.id] = &workspace;
    for (const Guarantee& guarantee : workspace.guarantees) {
      m_unused_counts[{workspace.id, guarantee.shape}] += guarantee.count;
    }
  }
  for (const GangView& gang : snapshot.gangs) {
    CountGang(snapshot, gang);
  }
  for (const auto& [key, count] : m_unused_counts) {
    for (int index = 0; index < count; ++index) {
      m_unused.push_back(Demand{key.first, key.second, std::nullopt});
    }
  }
}

void GuaranteeTracker::CountGang(const Snapshot& snapshot, const GangView& gang) {
  const auto workspace = m_workspaces.find(gang.workspace);
  const bool counts = gang.claim == Claim::kGuaranteed && IsInService(gang.zone, snapshot) &&
                      workspace != m_workspaces.end();
  if (!counts) {
    return;
  }
  const std::optional<Shape> guaranteed = GuaranteedShapeFor(gang.shape, *workspace->second);
  if (!guaranteed || m_unused_counts[{gang.workspace, *guaranteed}] == 0) {
    return;
  }
  --m_unused_counts[{gang.workspace, *guaranteed}];
  m_guaranteed.insert(gang.job);
  const std::vector<TaskPlacement> blocks = BlocksOfTasks(gang.tasks, *guaranteed, m_reclaimable);
  m_reclaimable.Allocate(blocks);
  const GuaranteeClaim claim{gang.workspace, *guaranteed, BlocksFor(gang.shape, *guaranteed)};
  const std::size_t zone = ZonePosition(gang.zone);
  const std::optional<Demand> unused_blocks = UnusedBlocks(claim, zone);
  if (unused_blocks && zone < m_reclaimable.zones().size()) {
    m_unused.push_back(*unused_blocks);
  }
}

std::optional<GuaranteeClaim> GuaranteeTracker::ClaimFor(const WaitingJob& job) const {
  const auto workspace = m_workspaces.find(job.workspace);
  if (workspace == m_workspaces.end()) {
    return std::nullopt;
  }
  const std::optional<Shape> guaranteed = GuaranteedShapeFor(job.shape, *workspace->second);
  if (!guaranteed || m_unused_counts.at({job.workspace, *guaranteed}) == 0) {
    return std::nullopt;
  }
  return GuaranteeClaim{job.workspace, *guaranteed, BlocksFor(job.shape, *guaranteed)};
}

std::vector<Demand> GuaranteeTracker::UnusedAfterAllocating(const GuaranteeClaim& claim,
                                                            const ZoneId& zone) const {
  std::vector<Demand> demands = m_unused;
  const auto claimed = std::find_if(demands.begin(), demands.end(), [&claim](const Demand& demand) {
    return !demand.required_zone && demand.workspace == claim.workspace &&
           demand.shape == claim.guaranteed;
  });
  demands.erase(claimed);
  const std::optional<Demand> unused_blocks = UnusedBlocks(claim, ZonePosition(zone));
  if (unused_blocks) {
    demands.push_back(*unused_blocks);
  }
  return demands;
}

bool GuaranteeTracker::LeavesOthersReclaimable(const GuaranteeClaim& claim, const ZoneId& zone,
                                               const std::vector<TaskPlacement>& blocks) const {
  if (!m_reclaimable.IsFree(blocks)) {
    return false;
  }
  CapacityMap rest = m_reclaimable;
  rest.Allocate(blocks);
  return FindPacking(UnusedAfterAllocating(claim, zone), rest).has_value();
}

std::optional<std::pair<ZoneId, std::vector<TaskPlacement>>>
GuaranteeTracker::FindReclaimableBlocks(const GuaranteeClaim& claim) const {
  const std::optional<Packing> packing = FindPacking(m_unused, m_reclaimable);
  if (!packing) {
    return std::nullopt;
  }
  const auto claimed =
      std::find_if(m_unused.begin(), m_unused.end(), [&claim](const Demand& demand) {
        return !demand.required_zone && demand.workspace == claim.workspace &&
               demand.shape == claim.guaranteed;
      });
  const std::size_t zone_position =
      (*packing)[static_cast<std::size_t>(claimed - m_unused.begin())];
  const ZoneRange& zone = m_reclaimable.zones()[zone_position];
  // Demands with larger tasks must be placed first; those with smaller tasks find as many slots
  // wherever the claim is placed.
  std::vector<Demand> others;
  for (std::size_t index = 0; index < m_unused.size(); ++index) {
    const bool goes_first =
        m_unused[index].shape.accelerators_per_task > claim.blocks.accelerators_per_task;
    if ((*packing)[index] == zone_position && goes_first) {
      others.push_back(m_unused[index]);
    }
  }
  CapacityMap rest = m_reclaimable;
  AllocateDemands(others, zone, rest);
  std::vector<TaskPlacement> blocks;
  for (std::size_t position = zone.workers.begin; position < zone.workers.end; ++position) {
    FillWorker(rest.workers()[position], claim.blocks, blocks);
  }
  const bool complete = static_cast<int>(blocks.size()) == claim.blocks.tasks.value();
  // For sizes that are not powers of two, placing the larger first does not ensure that the rest
  // fits.
  if (!complete || !LeavesOthersReclaimable(claim, zone.zone, blocks)) {
    return std::nullopt;
  }
  return std::pair(zone.zone, std::move(blocks));
}

void GuaranteeTracker::Allocate(const GuaranteeClaim& claim, const ZoneId& zone,
                                const std::vector<TaskPlacement>& blocks) {
  m_unused = UnusedAfterAllocating(claim, zone);
  --m_unused_counts[{claim.workspace, claim.guaranteed}];
  m_reclaimable.Allocate(blocks);
}

std::size_t GuaranteeTracker::ZonePosition(const ZoneId& zone) const {
  const std::vector<ZoneRange>& zones = m_reclaimable.zones();
  const auto found = std::find_if(zones.begin(), zones.end(), [&zone](const ZoneRange& candidate) {
    return candidate.zone == zone;
  });
  return static_cast<std::size_t>(found - zones.begin());
}

}  // namespace papayalift
