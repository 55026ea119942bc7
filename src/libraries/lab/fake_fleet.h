/// Fake of the workers: their held accelerators, injected failures, and health as seen by the
/// scheduler.
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

  /// Marks the accelerators of the tasks as held. Returns the number of tasks that name an unknown
  /// worker, accelerators that the worker does not have, or accelerators already held; the
  /// accelerators of known workers are marked even then, so that the run can continue.
  int Hold(const std::vector<TaskPlacement>& tasks);
  void Release(const std::vector<TaskPlacement>& tasks);

  void SetFailing(std::size_t position, bool failing) { m_failing[position] = failing; }
  /// Index of the first failing worker of the gang, or -1 if there is none.
  int FailingWorkerOf(const std::vector<TaskPlacement>& tasks) const;

  void SetHealth(std::size_t position, WorkerHealth health) { m_views[position].health = health; }
  void PassCanary(const std::vector<TaskPlacement>& tasks);
  bool AnyOnProbation(const std::vector<TaskPlacement>& tasks) const;

  const std::vector<WorkerView>& views() const { return m_views; }
  const WorkerView* Find(const WorkerId& worker) const;

  AcceleratorCount InService(const ZoneTable& zones) const;
  AcceleratorCount FreeInService(const ZoneTable& zones) const;
  /// Number of free accelerators in service that gangs of `shape` could use.
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
