/// Which guaranteed shape a job counts against, and which blocks of accelerators it uses of it.
///
/// A guaranteed shape of T tasks with A accelerators consists of T blocks of A adjacent
/// accelerators in one zone. A smaller gang fills one block after the other and holds every block
/// that it uses as a whole, so the guaranteed shape fits again as soon as the gang ends.
#pragma once

#include <optional>
#include <vector>

#include "libraries/decisions/capacity_map.h"
#include "libraries/model/bundle.h"

namespace papayalift {

bool FitsInside(const Shape& shape, const Shape& guaranteed);

/// The smallest of the workspace's guaranteed shapes that holds `shape`. The result depends only on
/// the arguments, so every pass counts a running gang against the same shape.
std::optional<Shape> GuaranteedShapeFor(const Shape& shape, const WorkspaceSpec& workspace);

/// The blocks of `guaranteed` that a gang of `shape` uses, as a shape.
Shape BlocksFor(const Shape& shape, const Shape& guaranteed);

/// Puts the tasks of `shape` into `blocks`, each block filled from its start.
std::vector<TaskPlacement> TasksInBlocks(const Shape& shape,
                                         const std::vector<TaskPlacement>& blocks);

/// The blocks that placed tasks use; the inverse of TasksInBlocks().
std::vector<TaskPlacement> BlocksOfTasks(const std::vector<TaskPlacement>& tasks,
                                         const Shape& guaranteed, const CapacityMap& capacity);

}  // namespace papayalift
