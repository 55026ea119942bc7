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

bool TrackedJob::is_withdrawn() const {
  return is_cancelled && accepted_revision.value() == 0 && progress_revision.value() == 0;
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
  const std::size_t step = static_cast<std::size_t>(name.step);
  // A job whose accepted record is not known has no steps, whatever its progress says.
  if (job == nullptr || step >= job->progress.steps.size() ||
      step >= job->accepted.work.steps.size()) {
    return nullptr;
  }
  std::vector<TaskProgress>& tasks = job->progress.steps[static_cast<std::size_t>(name.step)].tasks;
  return static_cast<std::size_t>(name.index) >= tasks.size()
             ? nullptr
             : &tasks[static_cast<std::size_t>(name.index)];
}

const StepSpec* LeaderState::FindStep(const TaskName& task) const {
  const auto job = jobs.find(task.job);
  const std::size_t step = static_cast<std::size_t>(task.step);
  return job == jobs.end() || step >= job->second.accepted.work.steps.size()
             ? nullptr
             : &job->second.accepted.work.steps[step];
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

bool LeaderState::HasLaterMinionAt(const std::string& address,
                                   MinionIncarnation incarnation) const {
  return std::any_of(minions.begin(), minions.end(), [&](const auto& entry) {
    const TrackedMinion& minion = entry.second;
    return minion.entry.has_value() && minion.address == address &&
           minion.entry->incarnation > incarnation;
  });
}

SilentRuns LeaderState::CountSilentRuns(Milliseconds now) const {
  SilentRuns silent;
  for (const auto& [id, minion] : minions) {
    if (!minion.silence.has_value() || minion.runs.empty()) {
      continue;
    }
    ++silent.minions;
    (minion.entry.has_value() ? silent.runs_on_listed_minions : silent.runs_on_unlisted_minions) +=
        static_cast<int>(minion.runs.size());
    silent.longest_silence = std::max(silent.longest_silence, now - minion.silence->since);
  }
  return silent;
}

std::int64_t LeaderState::CountStartsOut() const {
  const auto is_out = [](const auto& entry) {
    const TrackedRun& run = entry.second;
    return run.state == TrackedRunState::kDecided ||
           (run.state == TrackedRunState::kOrdered && run.orders_sent > 0);
  };
  std::int64_t out = 0;
  for (const auto& [id, minion] : minions) {
    if (minion.unanswered_calls == 0) {
      out += std::count_if(minion.runs.begin(), minion.runs.end(), is_out);
    }
  }
  return out;
}

void LeaderState::AddRun(TrackedMinion& minion, TrackedRun run) {
  minion.allocated += run.needs;
  // A minion may report runs of jobs or steps that are not known.
  TrackedJob* const job = FindJob(run.task.job);
  const std::size_t step = static_cast<std::size_t>(run.task.step);
  if (job != nullptr && step < job->progress.steps.size()) {
    job->runs_by_step.resize(job->progress.steps.size());
    ++job->runs_by_step[step];
  }
  if (job != nullptr) {
    run.workspace = job->accepted.workspace;
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
  TrackedJob* const job = FindJob(name.job);
  const std::size_t step = static_cast<std::size_t>(name.step);
  // The job may have become known after the run.
  if (job != nullptr && step < job->runs_by_step.size() && job->runs_by_step[step] > 0) {
    --job->runs_by_step[step];
  }
  minion->runs.erase(found);
}

void LeaderState::DropOldAnnouncements(Milliseconds now) {
  planned_ends.DropOld(now, [this](const MinionId& id, MinionIncarnation incarnation) {
    const TrackedMinion* const minion = FindMinion(id);
    return minion != nullptr &&
           ((minion->entry.has_value() && minion->entry->incarnation == incarnation) ||
            std::any_of(minion->runs.begin(), minion->runs.end(), [incarnation](const auto& entry) {
              return entry.second.incarnation == incarnation;
            }));
  });
}

}  // namespace papayalift
