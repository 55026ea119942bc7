#include "libraries/decisions/guaranteed_shape.h"

#include <algorithm>
#include <bit>
#include <map>

namespace papayalift {

namespace {

int TasksPerBlock(const Shape& shape, const Shape& guaranteed) {
  return guaranteed.accelerators_per_task.value() / shape.accelerators_per_task.value();
}

/// Appends blocks that cover the `used` accelerators of one worker, from the lowest position up.
void AppendCoveringBlocks(const WorkerId& worker, AcceleratorSet used, AcceleratorCount block,
                          AcceleratorCount size, std::vector<TaskPlacement>& blocks) {
  while (!used.empty()) {
    const int first = std::countr_zero(used.bits());
    const int start = std::max(0, std::min(first, size.value() - block.value()));
    const AcceleratorSet run = AcceleratorSet::RunAt(start, block);
    blocks.push_back(TaskPlacement{worker, run});
    used = used.Without(run);
  }
}

}  // namespace

bool FitsInside(const Shape& shape, const Shape& guaranteed) {
  return shape.tasks.value() <= guaranteed.tasks.value() * TasksPerBlock(shape, guaranteed);
}

std::optional<Shape> GuaranteedShapeFor(const Shape& shape, const WorkspaceSpec& workspace) {
  std::optional<Shape> best;
  for (const Guarantee& guarantee : workspace.guarantees) {
    const Shape& candidate = guarantee.shape;
    const bool smaller = !best || candidate.Total() < best->Total() ||
                         (candidate.Total() == best->Total() && candidate < *best);
    if (guarantee.count > 0 && smaller && FitsInside(shape, candidate)) {
      best = candidate;
    }
  }
  return best;
}

Shape BlocksFor(const Shape& shape, const Shape& guaranteed) {
  const int per_block = TasksPerBlock(shape, guaranteed);
  const int blocks = (shape.tasks.value() + per_block - 1) / per_block;
  return Shape{TaskCount(blocks), guaranteed.accelerators_per_task};
}

std::vector<TaskPlacement> TasksInBlocks(const Shape& shape,
                                         const std::vector<TaskPlacement>& blocks) {
  std::vector<TaskPlacement> tasks;
  const int size = shape.accelerators_per_task.value();
  for (const TaskPlacement& block : blocks) {
    const int start = std::countr_zero(block.accelerators.bits());
    const int end = start + block.accelerators.Count().value();
    for (int position = start; position + size <= end; position += size) {
      if (static_cast<int>(tasks.size()) == shape.tasks.value()) {
        return tasks;
      }
      const AcceleratorSet run = AcceleratorSet::RunAt(position, shape.accelerators_per_task);
      tasks.push_back(TaskPlacement{block.worker, run});
    }
  }
  return tasks;
}

std::vector<TaskPlacement> BlocksOfTasks(const std::vector<TaskPlacement>& tasks,
                                         const Shape& guaranteed, const CapacityMap& capacity) {
  std::map<WorkerId, AcceleratorSet> used;
  for (const TaskPlacement& task : tasks) {
    used[task.worker] = used[task.worker].Union(task.accelerators);
  }
  std::vector<TaskPlacement> blocks;
  for (const auto& [worker, accelerators] : used) {
    const WorkerCapacity* const found = capacity.Find(worker);
    if (found != nullptr) {
      AppendCoveringBlocks(worker, accelerators, guaranteed.accelerators_per_task,
                           found->worker->accelerators, blocks);
    }
  }
  return blocks;
}

}  // namespace papayalift
