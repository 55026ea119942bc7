/// The room of one pass as it shrinks with each decision.
#pragma once

#include <map>
#include <vector>

#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

struct MinionCapacity {
  const PlanMinion* minion = nullptr;
  /// Can be used at once.
  Resources free;
  /// Can be used once everything that is being stopped has ended.
  Resources free_after_stops;
  /// Not taken by work that can't be stopped.
  Resources free_after_reclaim;
};

/// Which of a minion's rooms a search looks at.
using CapacityMember = Resources MinionCapacity::*;

class PlanCapacity {
 public:
  explicit PlanCapacity(const PlanSnapshot& snapshot);

  std::vector<MinionCapacity>& minions() { return m_minions; }
  const std::vector<MinionCapacity>& minions() const { return m_minions; }
  MinionCapacity* Find(const MinionId& id);

  /// Takes room for what starts now.
  void Take(const MinionId& id, const Resources& needs);
  /// Keeps room for what starts once others have ended.
  void Reserve(const MinionId& id, const Resources& needs);
  /// Counts what is being stopped by this pass.
  void AddReleasing(const MinionId& id, const Resources& freed);

  /// The minions of one rack, as places in minions().
  const std::vector<std::size_t>& OnRack(const RackId& rack) const;
  /// The racks that have minions, in order.
  const std::map<RackId, std::vector<std::size_t>>& racks() const { return m_racks; }
  /// Accelerators that can be used at once, on all minions together.
  std::int64_t free_accelerators() const;

  /// Part of all accelerators that is taken, 0 to 1.
  double accelerator_use() const { return m_accelerator_use; }

 private:
  std::vector<MinionCapacity> m_minions;
  std::map<MinionId, std::size_t> m_index_by_minion;
  std::map<RackId, std::vector<std::size_t>> m_racks;
  double m_accelerator_use = 0;
};

}  // namespace papayalift
