#include "libraries/leader/task_isolation.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "libraries/planner/plan_capacity.h"

namespace papayalift {

namespace {

/// How long a task that is suspected of crashing minions waits for one without other runs. With
/// spare capacity the others run on it would not have many, and a task must not be left waiting.
constexpr Milliseconds kMaxIsolationWait{20'000};
constexpr Milliseconds kMaxIsolationWaitWithSpareCapacity = kMaxWaitBesideRoom;
constexpr int kMinLateCrashesOfSuspect = 2;

std::set<int> WaitingSuspects(const std::vector<TaskProgress>& tasks) {
  std::set<int> suspects;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].phase == TaskPhase::kWaiting && IsSuspect(tasks[index])) {
      suspects.insert(static_cast<int>(index));
    }
  }
  return suspects;
}

/// The minions at the addresses at which one of the tasks first crashed a minion.
std::set<MinionId> MinionsOnCrashedMachines(const LeaderState& state,
                                            const std::vector<TaskProgress>& tasks,
                                            const std::set<int>& suspects) {
  std::set<std::string> addresses;
  for (const int index : suspects) {
    const TaskProgress& task = tasks[static_cast<std::size_t>(index)];
    addresses.insert(task.first_crash_address);
    for (const OpenLoss& loss : task.open_losses) {
      addresses.insert(loss.address);
    }
  }
  std::set<MinionId> minions;
  for (const auto& [id, minion] : state.minions) {
    if (addresses.contains(minion.address)) {
      minions.insert(id);
    }
  }
  return minions;
}

/// Whether a task of the step has likely crashed a minion. A single crash may have another cause.
bool HasLikelyCause(const std::vector<TaskProgress>& tasks) {
  return std::any_of(tasks.begin(), tasks.end(), [](const TaskProgress& task) {
    return task.crashes > 1 || task.crashes_of_one_job > 0;
  });
}

bool IsOnProbation(const TrackedRun& run) { return run.is_isolated && !run.has_outlived_start; }

bool HasTaskOnProbation(LeaderState& state, const TrackedJob& job, std::size_t step) {
  const std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    const TaskName name{job.accepted.id, 0, static_cast<int>(step), static_cast<int>(index)};
    const TrackedRun* const run =
        tasks[index].crashes == 0 ? nullptr : state.FindRun(name, tasks[index].attempt);
    if (run != nullptr && IsOnProbation(*run)) {
      return true;
    }
  }
  return false;
}

/// Leaves only the first task that may have crashed a minion when it started, or none while another
/// is on probation.
void HoldBackSuspects(const std::vector<TaskProgress>& tasks, PendingStep& pending,
                      bool has_task_on_probation) {
  std::set<int> held_back = pending.isolated;
  std::erase_if(held_back, [&tasks](int index) {
    return tasks[static_cast<std::size_t>(index)].crashes == 0;
  });
  if (!held_back.empty() && !has_task_on_probation) {
    held_back.erase(held_back.begin());
  }
  for (const int index : held_back) {
    pending.isolated.erase(index);
    std::erase(pending.task_indexes, index);
  }
}

}  // namespace

bool IsSuspect(const TaskProgress& task) {
  const int open_late_losses =
      static_cast<int>(std::count_if(task.open_losses.begin(), task.open_losses.end(),
                                     [](const OpenLoss& loss) { return loss.is_late; }));
  const int open_losses = static_cast<int>(task.open_losses.size()) - open_late_losses;
  return task.crashes + open_losses > 0 ||
         task.late_crashes + open_late_losses >= kMinLateCrashesOfSuspect;
}

bool HasRunOnProbation(const TrackedMinion& minion) {
  return std::any_of(minion.runs.begin(), minion.runs.end(),
                     [](const auto& entry) { return IsOnProbation(entry.second); });
}

void IsolateSuspects(LeaderState& state, const TrackedJob& job, std::size_t step,
                     PendingStep& pending) {
  const std::vector<TaskProgress>& tasks = job.progress.steps[step].tasks;
  pending.isolated = WaitingSuspects(tasks);
  pending.crashed = MinionsOnCrashedMachines(state, tasks, pending.isolated);
  pending.max_isolation_wait = kMaxIsolationWait;
  pending.max_isolation_wait_with_spare_capacity = kMaxIsolationWaitWithSpareCapacity;
  if (pending.spec.kind != WorkStepKind::kGang && HasLikelyCause(tasks)) {
    HoldBackSuspects(tasks, pending, HasTaskOnProbation(state, job, step));
  }
}

}  // namespace papayalift
