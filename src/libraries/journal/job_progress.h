/// The stored progress of a job; only written by the leader.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/journal/accepted_job.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

enum class TaskPhase {
  kWaiting,
  /// A minion was chosen for a run, which may be active or about to start.
  kPlaced,
  kDone,
};

/// A run that was lost with a minion that is out of reach: its process has crashed, or is only cut
/// off, or has left as planned.
struct OpenLoss {
  MinionId minion;
  MinionIncarnation incarnation;
  std::string address;
  /// If it crashed, only this job can have been the cause.
  bool is_of_one_job = false;
  /// The run had outlived its start.
  bool is_late = false;
  /// How long it had run then; 0 if that is not known.
  Milliseconds ran_for{0};

  bool operator==(const OpenLoss&) const = default;
};

struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  /// The latest attempt that was placed; 0 for none.
  AttemptNumber attempt;
  /// Number of failed attempts. A failed attempt of a gang counts for all its members.
  int failures = 0;
  AttemptNumber last_failed;
  std::string checkpoint;
  /// Minion and incarnation that the attempt is placed on; only set while the phase is kPlaced.
  MinionId minion;
  MinionIncarnation incarnation;
  /// The minion's address when the attempt was placed. A minion that comes back after a crash may
  /// have another id, but has the same address.
  std::string address;
  /// Minions that crashed when they started the task.
  int crashes = 0;
  /// Those of them that only this job can have crashed.
  int crashes_of_one_job = 0;
  /// Address of the minion that crashed first, and how many crashes were there. A minion that comes
  /// back has the same address.
  std::string first_crash_address{};
  int crashes_at_first_address = 0;
  /// Minions that crashed, one after the other, when the task had run on them for about the same
  /// time, and those of them at the first address.
  int late_crashes = 0;
  int late_crashes_at_first_address = 0;
  /// How long it had run at the latest of them whose start was known; 0 for none.
  Milliseconds late_crash_after{0};
  /// Wall clock of the leader when the attempt was placed; only stored after a late crash.
  Milliseconds placed_at{0};
  /// At most a handful; each is dropped once its process is known to have ended or to run on.
  std::vector<OpenLoss> open_losses{};
  /// The heartbeat with which that incarnation has announced its end, for the next leader; only set
  /// while the phase is kPlaced.
  std::optional<HeartbeatNumber> announced_end = std::nullopt;

  bool operator==(const TaskProgress&) const = default;
};

enum class WorkState { kQueued, kRunning, kDone, kFailed, kCancelled };

struct StepProgress {
  std::vector<TaskProgress> tasks;

  bool operator==(const StepProgress&) const = default;
};

struct JobProgress {
  WorkState state = WorkState::kQueued;
  /// Wall clock of the leader when the job ended; 0 before that.
  Milliseconds ended_at{0};
  /// One entry for each step of the job.
  std::vector<StepProgress> steps;

  bool operator==(const JobProgress&) const = default;
};

/// The progress of a job of which no task was placed.
JobProgress InitialProgress(const AcceptedJob& job);

bool HasEnded(WorkState state);
bool AllTasksInPhase(const StepProgress& step, TaskPhase phase);
bool AnyTaskInPhase(const JobProgress& progress, TaskPhase phase);

}  // namespace papayalift
