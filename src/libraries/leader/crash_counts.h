/// How many crashes speak against a task, as kept with its progress.
#pragma once

#include <optional>
#include <string>

#include "libraries/journal/job_progress.h"

namespace papayalift {

/// A run that was lost some time after its start.
struct LateLoss {
  std::string address;
  /// How long it had run, if that is known.
  std::optional<Milliseconds> ran_for;
  /// The minion's process is known to have ended.
  bool has_ended = true;
};

/// A crash this long after the start of a run says nothing about its task, and a run that lasts as
/// long shows that earlier crashes some time after a start had another cause.
constexpr Milliseconds kMaxLateCrash{60'000};

/// Counts a crash some time after a start of the task. It starts a new count if the task had run
/// for another time than at the former ones: what crashes its minions does so at the same point of
/// its work, and machines that fail by themselves don't.
void CountLateCrash(TaskProgress& task, const LateLoss& loss);

/// Takes back the count of such a crash, which turned out to have another cause.
void UncountLateCrash(TaskProgress& task, const std::string& address);

/// Forgets all such crashes of the task.
void ForgetLateCrashes(TaskProgress& task);

/// Keeps a loss of which it is not known yet whether the process has ended. Of too many the oldest
/// is dropped.
void AddOpenLoss(TaskProgress& task, OpenLoss loss);

/// Whether a task with these open losses is to be given up, given how many of them are of minions
/// that are neither registered nor answer: its crashes and these together suffice. A minion that is
/// only cut off is back before that many more runs are lost.
bool IsLosingMinions(const TaskProgress& task, int unaccounted_losses);

/// Whether a task with these crashes is to be given up: twice no other job's task can have been the
/// cause, or it was among the suspects too often. If all crashes were at one address, it may be
/// that machine's fault, and more are needed. Crashes some time after a start are weaker evidence.
bool IsCrashLooping(const TaskProgress& task);

}  // namespace papayalift
