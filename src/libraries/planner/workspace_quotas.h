/// Tracks during one planning pass how much each workspace may still start.
#pragma once

#include <map>

#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// A workspace's longest waiting gang gets the quota that becomes free, so that the workspace's
/// narrow steps can't take each part of it as it is released.
class WorkspaceQuotas {
 public:
  explicit WorkspaceQuotas(const PlanSnapshot& snapshot);

  /// How many of the step's waiting tasks may start at once; for a gang, all or none.
  std::int64_t TasksAllowed(const PendingStep& pending) const;
  /// The same once all runs that are being stopped have ended.
  std::int64_t TasksAllowedAfterStops(const PendingStep& pending) const;

  /// Counts tasks that start, or whose capacity is reserved.
  void Add(const PendingStep& pending, std::int64_t tasks);
  /// Counts runs that this pass stops.
  void AddBeingFreed(const WorkspaceId& workspace, const Resources& freed);

 private:
  struct Usage {
    Resources quota;
    Resources running;
    Resources being_freed;
    /// The gang for which quota is kept; nullptr if there is none.
    const PendingStep* gang = nullptr;
    /// The workspace uses no more than half of its quota.
    bool has_spare_quota = false;
  };

  static bool MayReserve(const PendingStep& pending);
  static bool IsRestrained(const PendingStep& pending, const Usage& usage);
  static std::int64_t Allowed(const PendingStep& pending, const Usage& usage,
                              const Resources& running);

  std::map<WorkspaceId, Usage> m_usages;
};

}  // namespace papayalift
