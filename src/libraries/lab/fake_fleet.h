/// The workers of a run: what they hold, which of them fail what they start, and their health as
/// the scheduler sees it.
#pragma once

#include <map>
#include <vector>

#include "libraries/decisions/snapshot.h"
#include "libraries/model/bundle.h"
#include "libraries/model/zone_table.h"

namespace papayalift {

class FakeFleet {
 public:
  explicit FakeFleet(const Bundle& bundle);

  /// How many of the tasks name an unknown worker, accelerators that it has not, or accelerators
  /// that are held. They are held all the same, so that a run goes on.
  int Hold(const std::vector<TaskPlacement>& tasks);
  void Release(const std::vector<TaskPlacement>& tasks);

  void SetFailing(std::size_t position, bool failing) { m_failing[position] = failing; }
  /// The first worker of the gang that fails what it starts; -1 where there is none.
  int FailingWorkerOf(const std::vector<TaskPlacement>& tasks) const;

  void SetHealth(std::size_t position, WorkerHealth health) { m_views[position].health = health; }
  void PassCanary(const std::vector<TaskPlacement>& tasks);
  bool AnyOnProbation(const std::vector<TaskPlacement>& tasks) const;

  const std::vector<WorkerView>& views() const { return m_views; }
  const WorkerView* Find(const WorkerId& worker) const;

  AcceleratorCount InService(const ZoneTable& zones) const;
  AcceleratorCount FreeInService(const ZoneTable& zones) const;
  /// How many of the free accelerators in service gangs of `shape` could hold.
  AcceleratorCount UsableBy(const Shape& shape, const ZoneTable& zones) const;

 private:
  int PositionOf(const WorkerId& worker) const;
  int TasksOn(std::size_t position, const Shape& shape) const;

  std::vector<WorkerView> m_views;
  std::vector<AcceleratorSet> m_free;
  std::vector<bool> m_failing;
  std::map<WorkerId, int> m_positions;
};

}  // namespace papayalift
