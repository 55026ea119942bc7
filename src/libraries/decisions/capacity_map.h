/// Which accelerators of each worker are free, now or after placing and removing gangs.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "libraries/decisions/snapshot.h"

namespace papayalift {

struct WorkerCapacity {
  const WorkerView* worker = nullptr;
  AcceleratorSet free;
};

/// Positions `begin` to `end` - 1 of workers(): the workers of one rack or one zone.
struct WorkerRange {
  std::size_t begin = 0;
  std::size_t end = 0;
};

struct ZoneRange {
  ZoneId zone;
  WorkerRange workers;
  std::vector<WorkerRange> racks;
};

/// Cheap to copy, so that changes can be tried on a copy.
class CapacityMap {
 public:
  /// The healthy workers in service, with the accelerators of all gangs allocated. `snapshot` must
  /// outlive the map.
  static CapacityMap FromSnapshot(const Snapshot& snapshot);
  /// The same workers with all accelerators free.
  static CapacityMap WithoutGangs(const Snapshot& snapshot);

  void Allocate(const std::vector<TaskPlacement>& tasks);
  void Release(const std::vector<TaskPlacement>& tasks);

  /// Allocates all accelerators in the zone.
  void AllocateAll(const ZoneRange& zone);
  /// What is free in both maps; `other` must be of the same snapshot.
  CapacityMap IntersectWith(const CapacityMap& other) const;

  /// Whether all accelerators of `tasks` are free.
  bool IsFree(const std::vector<TaskPlacement>& tasks) const;
  /// Position in workers(); nullopt if the worker is not in service.
  std::optional<std::size_t> PositionOf(const WorkerId& worker) const;
  /// Null if the worker is not in service.
  const WorkerCapacity* Find(const WorkerId& worker) const;

  /// Grouped by zone and rack, in a fixed order.
  const std::vector<WorkerCapacity>& workers() const { return m_workers; }
  const std::vector<ZoneRange>& zones() const;

 private:
  struct Index;

  std::vector<WorkerCapacity> m_workers;
  std::shared_ptr<const Index> m_index;
};

}  // namespace papayalift
