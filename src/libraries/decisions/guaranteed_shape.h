/// Which guaranteed shape a job counts against, and the blocks of accelerators that it takes there.
///
/// A guaranteed shape of T tasks with A accelerators is T blocks of A adjacent accelerators in one
/// zone. A smaller gang fills whole blocks as far as it goes and holds the blocks that it touches,
/// so the guaranteed shape has a place again as soon as the gang ends.
#pragma once

#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"
#include "libraries/model/bundle.h"

namespace papayalift {

bool FitsInside(const Shape& shape, const Shape& guaranteed);

/// The smallest of the workspace's guaranteed shapes that holds `shape`. It depends on nothing
/// else, so every pass counts a running gang against the same one.
std::optional<Shape> GuaranteedShapeFor(const Shape& shape, const WorkspaceSpec& workspace);

/// The blocks of `guaranteed` that a gang of `shape` touches, as a shape of its own.
Shape BlocksFor(const Shape& shape, const Shape& guaranteed);

/// Puts the tasks of `shape` into `blocks`, each block filled from its start.
std::vector<TaskPlacement> TasksInBlocks(const Shape& shape,
                                         const std::vector<TaskPlacement>& blocks);

/// The blocks that running tasks touch; the opposite of TasksInBlocks().
std::vector<TaskPlacement> BlocksOfTasks(const std::vector<TaskPlacement>& tasks,
                                         const Shape& guaranteed, const CapacityMap& capacity);

}  // namespace papayalift
