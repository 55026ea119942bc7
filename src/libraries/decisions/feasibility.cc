#include "libraries/decisions/feasibility.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace papayalift {

namespace {

/// The most tasks of the shape that any one zone holds when empty.
int MaxTasksInOneZone(const Shape& shape, const Bundle& bundle) {
  std::map<ZoneId, int> tasks;
  for (const WorkerSpec& worker : bundle.workers) {
    tasks[worker.zone] += worker.accelerators.value() / shape.accelerators_per_task.value();
  }
  int max_tasks = 0;
  for (const auto& [zone, count] : tasks) {
    max_tasks = std::max(max_tasks, count);
  }
  return max_tasks;
}

}  // namespace

std::optional<std::string> InfeasibilityReason(const JobSpec& spec, const Bundle& bundle) {
  const WorkspaceSpec* const workspace = bundle.FindWorkspace(spec.workspace);
  if (workspace == nullptr) {
    return fmt::format("the bundle declares no workspace '{}'", spec.workspace.text());
  }
  const AcceleratorCount wanted = spec.shape.Total();
  if (wanted > workspace->quota) {
    return fmt::format("it asks for {} accelerators; the quota of workspace '{}' is {}",
                       wanted.value(), spec.workspace.text(), workspace->quota.value());
  }
  const int max_tasks = MaxTasksInOneZone(spec.shape, bundle);
  if (max_tasks < spec.shape.tasks.value()) {
    return fmt::format(
        "it asks for {} tasks of {} adjacent accelerators in one zone; no zone has room for "
        "more than {}",
        spec.shape.tasks.value(), spec.shape.accelerators_per_task.value(), max_tasks);
  }
  return std::nullopt;
}

}  // namespace papayalift
