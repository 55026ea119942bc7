#include "libraries/decisions/guarantee_book.h"

#include <algorithm>
#include <tuple>

#include "libraries/decisions/guaranteed_shape.h"
#include "libraries/decisions/placer.h"

namespace papayalift {

namespace {

bool IsInService(const ZoneId& zone, const Snapshot& snapshot) {
  return snapshot.zones.StateOf(zone) == ZoneState::kIn;
}

/// The blocks of the claim that a smaller gang leaves out stay promised in its zone.
std::optional<Demand> UntouchedBlocks(const GuaranteeClaim& claim, std::size_t zone) {
  const TaskCount missing = claim.guaranteed.tasks - claim.blocks.tasks;
  if (missing <= TaskCount(0)) {
    return std::nullopt;
  }
  return Demand{claim.workspace, Shape{missing, claim.guaranteed.accelerators_per_task}, zone};
}

/// Puts demands into their zone of `capacity`, the largest tasks first.
void HoldDemands(std::vector<Demand> demands, const ZoneRange& zone, CapacityMap& capacity) {
  std::stable_sort(demands.begin(), demands.end(), [](const Demand& left, const Demand& right) {
    return left.shape.accelerators_per_task > right.shape.accelerators_per_task;
  });
  for (const Demand& demand : demands) {
    std::vector<TaskPlacement> tasks;
    for (std::size_t at = zone.workers.begin; at < zone.workers.end; ++at) {
      FillWorker(capacity.workers()[at], demand.shape, tasks);
    }
    capacity.Hold(tasks);
  }
}

}  // namespace

GuaranteeBook::GuaranteeBook(const Snapshot& snapshot, const CapacityMap& empty)
    : m_reclaimable(empty) {
  for (const WorkspaceSpec& workspace : snapshot.workspaces) {
    m_workspaces[workspace.id] = &workspace;
    for (const Guarantee& guarantee : workspace.guarantees) {
      m_unused_counts[{workspace.id, guarantee.shape}] += guarantee.count;
    }
  }
  for (const GangView& gang : snapshot.gangs) {
    CountGang(snapshot, gang);
  }
  for (const auto& [kind, count] : m_unused_counts) {
    for (int index = 0; index < count; ++index) {
      m_unused.push_back(Demand{kind.first, kind.second, std::nullopt});
    }
  }
}

void GuaranteeBook::CountGang(const Snapshot& snapshot, const GangView& gang) {
  const auto workspace = m_workspaces.find(gang.workspace);
  const bool may_count = gang.claim == Claim::kGuaranteed && IsInService(gang.zone, snapshot) &&
                         workspace != m_workspaces.end();
  if (!may_count) {
    return;
  }
  const std::optional<Shape> guaranteed = GuaranteedShapeFor(gang.shape, *workspace->second);
  if (!guaranteed || m_unused_counts[{gang.workspace, *guaranteed}] == 0) {
    return;
  }
  --m_unused_counts[{gang.workspace, *guaranteed}];
  m_guaranteed.insert(gang.job);
  const std::vector<TaskPlacement> blocks = BlocksOf(gang.tasks, *guaranteed, m_reclaimable);
  m_reclaimable.Hold(blocks);
  const GuaranteeClaim claim{gang.workspace, *guaranteed, BlocksFor(gang.shape, *guaranteed)};
  const std::size_t zone = ZonePosition(gang.zone);
  const std::optional<Demand> untouched = UntouchedBlocks(claim, zone);
  if (untouched && zone < m_reclaimable.zones().size()) {
    m_unused.push_back(*untouched);
  }
}

std::optional<GuaranteeClaim> GuaranteeBook::ClaimOf(const WaitingJob& job) const {
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

std::vector<Demand> GuaranteeBook::UnusedAfter(const GuaranteeClaim& claim,
                                               const ZoneId& zone) const {
  std::vector<Demand> demands = m_unused;
  const auto used = std::find_if(demands.begin(), demands.end(), [&claim](const Demand& demand) {
    return !demand.only_zone && demand.workspace == claim.workspace &&
           demand.shape == claim.guaranteed;
  });
  demands.erase(used);
  const std::optional<Demand> untouched = UntouchedBlocks(claim, ZonePosition(zone));
  if (untouched) {
    demands.push_back(*untouched);
  }
  return demands;
}

bool GuaranteeBook::StaysReclaimableWith(const GuaranteeClaim& claim, const ZoneId& zone,
                                         const std::vector<TaskPlacement>& blocks) const {
  if (!m_reclaimable.IsFree(blocks)) {
    return false;
  }
  CapacityMap rest = m_reclaimable;
  rest.Hold(blocks);
  return FindPacking(UnusedAfter(claim, zone), rest).has_value();
}

std::optional<std::pair<ZoneId, std::vector<TaskPlacement>>> GuaranteeBook::ReclaimableBlocks(
    const GuaranteeClaim& claim) const {
  const std::optional<Packing> packing = FindPacking(m_unused, m_reclaimable);
  if (!packing) {
    return std::nullopt;
  }
  const auto own = std::find_if(m_unused.begin(), m_unused.end(), [&claim](const Demand& demand) {
    return !demand.only_zone && demand.workspace == claim.workspace &&
           demand.shape == claim.guaranteed;
  });
  const std::size_t position = (*packing)[static_cast<std::size_t>(own - m_unused.begin())];
  const ZoneRange& zone = m_reclaimable.zones()[position];
  std::vector<Demand> others;
  for (std::size_t index = 0; index < m_unused.size(); ++index) {
    if ((*packing)[index] == position && &m_unused[index] != &*own) {
      others.push_back(m_unused[index]);
    }
  }
  CapacityMap rest = m_reclaimable;
  HoldDemands(others, zone, rest);
  std::vector<TaskPlacement> blocks;
  for (std::size_t at = zone.workers.begin; at < zone.workers.end; ++at) {
    FillWorker(rest.workers()[at], claim.blocks, blocks);
  }
  if (static_cast<int>(blocks.size()) < claim.blocks.tasks.value()) {
    return std::nullopt;
  }
  return std::pair(zone.zone, std::move(blocks));
}

void GuaranteeBook::Take(const GuaranteeClaim& claim, const ZoneId& zone,
                         const std::vector<TaskPlacement>& blocks) {
  m_unused = UnusedAfter(claim, zone);
  --m_unused_counts[{claim.workspace, claim.guaranteed}];
  m_reclaimable.Hold(blocks);
}

std::size_t GuaranteeBook::ZonePosition(const ZoneId& zone) const {
  const std::vector<ZoneRange>& zones = m_reclaimable.zones();
  const auto found = std::find_if(zones.begin(), zones.end(), [&zone](const ZoneRange& candidate) {
    return candidate.zone == zone;
  });
  return static_cast<std::size_t>(found - zones.begin());
}

}  // namespace papayalift
