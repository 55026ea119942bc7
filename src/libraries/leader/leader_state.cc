#include "libraries/leader/leader_state.h"

#include <algorithm>
#include <utility>

namespace papayalift {

EndNumber TrackedMinion::acknowledgeable_end() const {
  return unsaved_ends.empty() ? last_end : *unsaved_ends.begin() - EndNumber(1);
}

bool TrackedJob::has_runs() const {
  return std::any_of(runs_by_step.begin(), runs_by_step.end(), [](int runs) { return runs > 0; });
}

bool TrackedJob::is_writable() const {
  return !write.has_value() && !is_removal_in_flight && !is_record_gone;
}

TrackedJob* LeaderState::FindJob(const JobId& id) {
  const auto found = jobs.find(id);
  return found == jobs.end() ? nullptr : &found->second;
}

TrackedMinion* LeaderState::FindMinion(const MinionId& id) {
  const auto found = minions.find(id);
  return found == minions.end() ? nullptr : &found->second;
}

TaskProgress* LeaderState::FindTask(const TaskName& name) {
  TrackedJob* const job = FindJob(name.job);
  if (job == nullptr || static_cast<std::size_t>(name.step) >= job->progress.steps.size()) {
    return nullptr;
  }
  std::vector<TaskProgress>& tasks = job->progress.steps[static_cast<std::size_t>(name.step)].tasks;
  return static_cast<std::size_t>(name.index) >= tasks.size()
             ? nullptr
             : &tasks[static_cast<std::size_t>(name.index)];
}

TrackedRun* LeaderState::FindRun(const TaskName& name, AttemptNumber attempt) {
  const TaskProgress* const task = FindTask(name);
  if (task == nullptr) {
    return nullptr;
  }
  TrackedMinion* const minion = FindMinion(task->minion);
  if (minion == nullptr) {
    return nullptr;
  }
  const auto found = minion->runs.find(name);
  return found == minion->runs.end() || found->second.attempt != attempt ? nullptr : &found->second;
}

void LeaderState::AddRun(TrackedMinion& minion, TrackedRun run) {
  minion.allocated += run.needs;
  if (TrackedJob* const job = FindJob(run.task.job); job != nullptr) {
    const std::size_t step = static_cast<std::size_t>(run.task.step);
    job->runs_by_step.resize(std::max(job->runs_by_step.size(), step + 1));
    ++job->runs_by_step[step];
  }
  const TaskName name = run.task;
  minion.runs.insert_or_assign(name, std::move(run));
}

void LeaderState::RemoveRun(const MinionId& minion_id, const TaskName& name) {
  TrackedMinion* const minion = FindMinion(minion_id);
  if (minion == nullptr) {
    return;
  }
  const auto found = minion->runs.find(name);
  if (found == minion->runs.end()) {
    return;
  }
  minion->allocated -= found->second.needs;
  if (TrackedJob* const job = FindJob(name.job); job != nullptr) {
    --job->runs_by_step[static_cast<std::size_t>(name.step)];
  }
  minion->runs.erase(found);
}

}  // namespace papayalift
