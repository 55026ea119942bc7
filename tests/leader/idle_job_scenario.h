/// Plays jobs and faults, given by numbers, on a fleet with racks, and checks that no job is idle.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "leader/idle_job_check.h"
#include "leader/test_cluster.h"

namespace papayalift {

/// The actions before kKillLeader disturb nothing.
enum class IdleJobAction {
  kSubmitTasks,
  kSubmitTasksWithData,
  kSubmitGang,
  kSubmitGangForOneRack,
  kSubmitChain,
  kFillRack,
  kRunBriefly,
  kRunLonger,
  kCancel,
  kKillLeader,
  kRestartMinion,
  kCrashMinion,
  kCutMinionOff,
  kFailOrders,
  kFailCommits,
  kDrainMinion,
  kSubmitDeadlyTask,
};
constexpr int kCalmIdleJobActions = static_cast<int>(IdleJobAction::kKillLeader);
constexpr int kIdleJobActions = static_cast<int>(IdleJobAction::kSubmitDeadlyTask) + 1;
/// Parameters of each action.
constexpr int kIdleJobParameters = 100'000'000;

struct RackedFleet {
  int minions = 0;
  int minions_of_each_rack = 0;
};

/// What is played: N * kCalmIdleJobActions or kIdleJobActions + action encodes the parameter N.
struct IdleJobSequence {
  RackedFleet fleet;
  std::vector<int> calm;
  std::vector<int> faulty;
  std::vector<int> calm_again;
};

class IdleJobScenario {
 public:
  explicit IdleJobScenario(const RackedFleet& fleet);

  void ApplyCalm(int number);
  void ApplyFaulty(int number);
  /// Ends all faults, so that the time from now on is calm once minions and nodes are back.
  void EndFaults();
  /// Fails the running property if a job was left idle or another rule was broken.
  void Check();
  /// Advances the time until jobs that wait had to start.
  void RunOn();
  Milliseconds longest_idle() const { return m_check.longest_idle(); }

 private:
  struct Owner {
    Priority priority;
    std::string key;
  };

  void Apply(IdleJobAction action);
  void Disturb(IdleJobAction action);
  /// Returns a number from 0 to before `end` and removes it from the parameter.
  int Take(int end);
  StepSpec TakeStep(int max_count);
  Milliseconds TakeDuration();
  RackId TakeRack();
  /// The newest minion on the machine.
  MinionId MinionOn(int machine) const;
  MinionId TakeMinion();
  void Submit(RegisteredJob job);
  void SubmitChain();
  void FillRack();
  void Cancel();
  void KillLeader();
  void CrashMinion();
  void FailOrders();
  void FailCommits();
  void DrainMinion();
  void SubmitDeadlyTask();
  void CutMinionOff();
  void SendHeartbeatsRegularly();
  /// Advances the time, and notices jobs that end as failed well within the rule's bound.
  void Run(Milliseconds time);
  void ForgetFailedJobs();
  /// Whether the job may end as failed.
  bool MayFail(const JobId& job) const;
  WorkState StateOf(const JobId& job);

  const RackedFleet m_fleet;
  TestCluster m_cluster;
  IdleJobCheck m_check;
  int m_parameter = 0;
  int m_jobs = 0;
  int m_drained = 0;
  std::map<JobId, Owner> m_owners;
  std::set<JobId> m_deadly;
  /// Jobs that have ended as failed, and may.
  std::set<JobId> m_failed;
};

/// Plays the sequence and checks it after each part.
void CheckIdleJobs(const IdleJobSequence& sequence);

}  // namespace papayalift
