#include "libraries/leader/crash_counts.h"

#include <algorithm>
#include <utility>

namespace papayalift {

namespace {

constexpr int kMaxCrashesOfOneJob = 2;
constexpr int kMaxCrashes = 3;
constexpr int kMaxCrashesAtOneAddress = 4;
/// Run times that differ by no more than this, or this part of them, are about the same. A run that
/// a former leader has started is timed from its placement, which is stored before it is sent.
constexpr Milliseconds kMinLateCrashTolerance{400};
constexpr int kLateCrashTolerancePart = 10;
/// At a start and later together.
constexpr int kMaxCrashesAtAnyTime = 4;
constexpr int kMaxCrashesAtAnyTimeAtOneAddress = 5;
/// Crashes and losses with minions of which nothing is seen any more. No more starts are allowed of
/// a task that has crashed its minions.
constexpr int kMaxCrashesWithOpenLosses = 5;
constexpr std::size_t kMaxOpenLosses = kMaxCrashesWithOpenLosses;

/// Whether a task has likely crashed its minions at the same point of its work.
bool IsSimilar(Milliseconds left, Milliseconds right) {
  return std::max(left, right) - std::min(left, right) <=
         std::max(kMinLateCrashTolerance, std::max(left, right) / kLateCrashTolerancePart);
}

}  // namespace

void CountLateCrash(TaskProgress& task, const LateLoss& loss) {
  if (loss.ran_for.has_value() && task.late_crash_after.count() > 0 &&
      !IsSimilar(*loss.ran_for, task.late_crash_after)) {
    ForgetLateCrashes(task);
  }
  if (task.crashes + task.late_crashes == 0) {
    task.first_crash_address = loss.address;
  }
  ++task.late_crashes;
  if (!loss.address.empty() && loss.address == task.first_crash_address) {
    ++task.late_crashes_at_first_address;
  }
  task.late_crash_after = loss.ran_for.value_or(task.late_crash_after);
}

void UncountLateCrash(TaskProgress& task, const std::string& address) {
  if (task.late_crashes <= 1) {
    ForgetLateCrashes(task);
    return;
  }
  --task.late_crashes;
  if (address == task.first_crash_address && task.late_crashes_at_first_address > 0) {
    --task.late_crashes_at_first_address;
  }
}

void ForgetLateCrashes(TaskProgress& task) {
  task.late_crashes = 0;
  task.late_crashes_at_first_address = 0;
  task.late_crash_after = Milliseconds(0);
  task.placed_at = Milliseconds(0);
  if (task.crashes == 0) {
    task.first_crash_address.clear();
  }
}

void AddOpenLoss(TaskProgress& task, OpenLoss loss) {
  if (task.open_losses.size() == kMaxOpenLosses) {
    task.open_losses.erase(task.open_losses.begin());
  }
  task.open_losses.push_back(std::move(loss));
}

bool IsLosingMinions(const TaskProgress& task, int unaccounted_losses) {
  return unaccounted_losses > 0 &&
         task.crashes + task.late_crashes + unaccounted_losses >= kMaxCrashesWithOpenLosses;
}

bool IsCrashLooping(const TaskProgress& task) {
  const bool is_by_starts =
      task.crashes == task.crashes_at_first_address
          ? task.crashes >= kMaxCrashesAtOneAddress
          : task.crashes_of_one_job >= kMaxCrashesOfOneJob || task.crashes >= kMaxCrashes;
  const int crashes = task.crashes + task.late_crashes;
  const bool is_one_address =
      crashes == task.crashes_at_first_address + task.late_crashes_at_first_address;
  return is_by_starts ||
         crashes >= (is_one_address ? kMaxCrashesAtAnyTimeAtOneAddress : kMaxCrashesAtAnyTime);
}

}  // namespace papayalift
