/// Plays jobs with tasks that crash minions beside jobs without, and checks what callers see.
#pragma once

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leader/test_cluster.h"
#include "libraries/journal/job_progress_codec.h"

namespace papayalift {

constexpr Resources kMinionCapacity{8'000, 8'000, 8};
constexpr std::size_t kNodes = 3;
constexpr Milliseconds kStep{20};
constexpr Milliseconds kHeartbeatInterval{1'000};
/// How often the states of jobs are read.
constexpr Milliseconds kStateInterval{5'000};
/// Time within which a deadly task is given up while minions are free.
constexpr Milliseconds kMaxTimeToGiveUp{60'000};
/// Starts of a deadly task that the rule allows: three that crash their minions, and two more.
constexpr int kMaxStartsOfDeadlyTask = 5;
/// Crashes under a task after which it may be given up at the earliest.
constexpr int kMinCrashesToGiveUp = 2;

inline RegisteredJob MakeJob(int count, std::int64_t accelerators,
                             Milliseconds duration = Milliseconds(1'000)) {
  RegisteredJob job;
  job.work.steps = {MakeStep(count, accelerators)};
  job.work.steps[0].estimate = duration;
  job.duration = duration;
  return job;
}

inline RegisteredJob MakeGang(int count, std::int64_t accelerators,
                              Milliseconds duration = Milliseconds(1'000)) {
  RegisteredJob job = MakeJob(count, accelerators, duration);
  job.work.steps[0].kind = WorkStepKind::kGang;
  return job;
}

inline RegisteredJob WithDeadlyTasks(RegisteredJob job, const std::vector<int>& indexes) {
  for (const int index : indexes) {
    job.deadly_tasks.push_back(DeadlyTask{0, index});
  }
  return job;
}

inline RegisteredJob MakeDeadlyJob() { return WithDeadlyTasks(MakeJob(1, 1), {0}); }

/// A cluster in which deadly and innocent jobs are submitted, and the checks of what callers see.
class CrashScenario {
 public:
  explicit CrashScenario(int minions) : cluster(static_cast<int>(kNodes), minions) {
    SendHeartbeatsRegularly();
  }

  JobId SubmitInnocent(const RegisteredJob& job) { return Submit(job, m_innocent); }
  JobId SubmitDeadly(const RegisteredJob& job) { return Submit(job, m_deadly); }

  void Run(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += kStateInterval) {
      cluster.Run(std::min(kStateInterval, time - passed));
      RecordStates();
    }
  }

  /// Advances the time until the job runs, at most for a minute.
  void RunUntilStarted(const JobId& job) {
    for (Milliseconds waited{0}; waited < kMaxTimeToGiveUp; waited += kStep) {
      if (!cluster.minions.RunningOn(job).empty()) {
        return;
      }
      cluster.Run(kStep);
    }
  }

  /// Advances the time and calls `action` each time that the count has risen.
  void RunAndAfterEach(const std::function<int()>& count, Milliseconds time,
                       const std::function<void()>& action) {
    const Milliseconds end = cluster.timers.clock().Now() + time;
    Milliseconds next_state = cluster.timers.clock().Now();
    int last = count();
    while (cluster.timers.clock().Now() < end) {
      cluster.Run(kStep);
      if (count() > last) {
        last = count();
        action();
      }
      if (cluster.timers.clock().Now() >= next_state) {
        RecordStates();
        next_state = cluster.timers.clock().Now() + kStateInterval;
      }
    }
    RecordStates();
  }

  void RunAndAfterEachCrash(Milliseconds time, Milliseconds delay,
                            const std::function<void()>& action) {
    RunAndAfterEach([this] { return cluster.minions.crashes(); }, time,
                    [this, delay, &action] {
                      cluster.Run(delay);
                      action();
                    });
  }

  void RunAndAfterEachStart(const JobId& job, Milliseconds time,
                            const std::function<void()>& action) {
    RunAndAfterEach([this, &job] { return cluster.minions.starts(job); }, time, action);
  }

  void KillLeader() {
    const std::size_t index = cluster.leader_index();
    if (index == kNodes) {
      return;
    }
    cluster.Kill(index);
    cluster.timers.After(Milliseconds(1'500), [this, index] { cluster.Restart(index); });
  }

  void KillAllNodes() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (cluster.is_alive(index)) {
        cluster.Kill(index);
      }
    }
    cluster.Run(Milliseconds(1'000));
    for (std::size_t index = 0; index < kNodes; ++index) {
      cluster.Restart(index);
    }
  }

  void ExpectDeadlyJobsGivenUp() {
    for (const JobId& job : m_deadly) {
      cr_expect(StateOf(job) == WorkState::kFailed, "deadly job %s is %s", job.text().c_str(),
                WorkStateText(StateOf(job)).c_str());
    }
    for (const TaskName& task : m_deadly_tasks) {
      const TaskRecord record = cluster.minions.RecordOf(task);
      cr_expect(record.starts <= kMaxStartsOfDeadlyTask, "%s was started %d times",
                FormatTaskName(task).c_str(), record.starts);
    }
    ExpectNoViolations();
  }

  void ExpectInnocentJobsDone() {
    for (const JobId& job : m_innocent) {
      cr_expect(StateOf(job) == WorkState::kDone, "innocent job %s is %s", job.text().c_str(),
                WorkStateText(StateOf(job)).c_str());
    }
    ExpectNoViolations();
  }

  /// The state in which the job ended, or its present one. Ended jobs are forgotten after a while.
  WorkState StateOf(const JobId& job) {
    const auto ended = m_ended.find(job);
    return ended == m_ended.end() ? cluster.StateOf(job) : ended->second;
  }

  int LostInnocentRuns() const {
    int sum = 0;
    for (const JobId& job : m_innocent) {
      sum += cluster.minions.lost_runs(job);
    }
    return sum;
  }

  TestCluster cluster;

 private:
  void SendHeartbeatsRegularly() {
    cluster.minions.SendHeartbeats();
    cluster.timers.After(kHeartbeatInterval, [this] { SendHeartbeatsRegularly(); });
  }

  JobId Submit(const RegisteredJob& job, std::vector<JobId>& jobs) {
    JobId id = MakeJobId(++m_jobs);
    cr_assert(cluster.Submit(id, job).kind == JobReplyKind::kAccepted);
    jobs.push_back(id);
    for (const DeadlyTask& task : job.deadly_tasks) {
      m_deadly_tasks.push_back(TaskName{id, 0, task.step, task.index});
    }
    return id;
  }

  void RecordStates() {
    for (const std::vector<JobId>* const jobs : {&m_innocent, &m_deadly}) {
      for (const JobId& job : *jobs) {
        const WorkState state = StateOf(job);
        if (HasEnded(state)) {
          m_ended[job] = state;
        }
      }
    }
  }

  void ExpectNoViolations() const {
    for (const std::string& violation : cluster.minions.violations()) {
      cr_expect(false, "%s", violation.c_str());
    }
  }

  int m_jobs = 0;
  std::vector<JobId> m_innocent;
  std::vector<JobId> m_deadly;
  std::vector<TaskName> m_deadly_tasks;
  std::map<JobId, WorkState> m_ended;
};

}  // namespace papayalift
