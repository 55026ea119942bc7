/// Drives a test cluster by numbers, each of which encodes an action and its parameter.
#pragma once

#include <vector>

#include "leader/test_cluster.h"

namespace papayalift {

enum class Action {
  kSubmitTasks,
  kSubmitGang,
  kSubmitSteps,
  kSubmitGuaranteed,
  kSubmitFailing,
  kCancel,
  kKillNode,
  kRestartNodes,
  kDisconnectNode,
  kReconnectNode,
  kLoseCommits,
  kDelayCommits,
  kRestartMinion,
  kDisconnectMinion,
  kReconnectMinions,
  kLoseOrders,
  kDelayOrders,
  kCompactHistory,
  kChangeManifest,
  kRunBriefly,
  kRunLonger,
};
/// Numbers below kActionKinds * N encode an action with N parameters.
constexpr int kActionKinds = static_cast<int>(Action::kRunLonger) + 1;

/// Actions with minions that crash. They have numbers of their own, from kFirstCrashNumber on, so
/// that sequences recorded before them keep their meaning.
enum class CrashAction {
  kSubmitDeadlyTask,
  kSubmitDeadlyGang,
  kCrashMinion,
  kCrashMinionForNewId,
  kLoseZone,
};
constexpr int kCrashActionKinds = static_cast<int>(CrashAction::kLoseZone) + 1;
constexpr int kFirstCrashNumber = 1'000'000;

class FailureScenario {
 public:
  void Apply(int number);
  /// Ends all faults and advances the time until every accepted job must have ended.
  void Settle();
  /// Fails the running property if a job is left without the end it may have, or a rule is broken.
  void Check();

 private:
  static constexpr int kNodes = 3;
  static constexpr int kMinions = 4;

  void ApplyCrashAction(CrashAction action);
  MinionId ChosenMinion() const;
  /// The newest minion on the machine.
  MinionId MinionOn(int machine) const;
  void Submit(const StepSpec& step, Priority priority, int failing_attempts = 0);
  void SubmitTwoSteps();
  void Submit(RegisteredJob job, Priority priority);
  void SubmitDeadly(const StepSpec& step);
  void Cancel();
  void KillNode();
  void RestartNodes();
  void SetNodeReachable(bool is_reachable);
  void FailCommits(StoreFault fault);
  void ReconnectMinions();
  /// Whether the state is an end that the job may have.
  bool IsRightEnd(const JobId& job, WorkState state) const;

  TestCluster m_cluster{kNodes, kMinions};
  int m_parameter = 0;
  bool m_has_crashes = false;
  int m_jobs = 0;
  int m_version = 1;
  std::vector<JobId> m_accepted;
  std::vector<JobId> m_cancelled;
  std::vector<JobId> m_deadly;
};

/// Applies the numbers in order, ends all faults, and checks the outcome.
void CheckSequence(const std::vector<int>& numbers);

}  // namespace papayalift
