#include "libraries/lab/invariant_checker.h"

#include <algorithm>

namespace papayalift {

namespace {

bool IsWhole(const JobRun& run, const Shape& shape) {
  return static_cast<int>(run.tasks.size()) == shape.tasks.value() &&
         std::all_of(run.tasks.begin(), run.tasks.end(), [&shape](const TaskPlacement& task) {
           return task.accelerators.Count() == shape.accelerators_per_task &&
                  task.accelerators.LongestRun() == shape.accelerators_per_task;
         });
}

bool IsInOneZone(const LabState& state, const JobRun& run) {
  return std::all_of(run.tasks.begin(), run.tasks.end(), [&](const TaskPlacement& task) {
    const WorkerView* const worker = state.fleet.Find(task.worker);
    return worker != nullptr && worker->zone == run.zone;
  });
}

}  // namespace

void InvariantChecker::OnStart(const LabState& state, std::size_t index, int conflicts) {
  const JobRun& run = state.runs[index];
  m_report.capacity_exceeded += conflicts;
  m_report.split_gangs += IsInOneZone(state, run) ? 0 : 1;
  m_report.placed_into_zone_out += state.zones.StateOf(run.zone) == ZoneState::kOut ? 1 : 0;
}

void InvariantChecker::Check(const LabState& state) {
  for (const std::size_t index : state.holding) {
    const JobRun& run = state.runs[index];
    if (!IsWhole(run, state.jobs[index].spec.shape)) {
      m_partial.emplace(index, run.attempt);
    }
  }
}

InvariantReport InvariantChecker::report() const {
  InvariantReport report = m_report;
  report.partial_gangs = static_cast<int>(m_partial.size());
  return report;
}

}  // namespace papayalift
