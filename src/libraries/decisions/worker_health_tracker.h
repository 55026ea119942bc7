/// Distinguishes faulty workers from faulty jobs, which fail on any worker.
#pragma once

#include <map>
#include <set>

#include "libraries/decisions/snapshot.h"

namespace papayalift {

enum class TaskOutcome {
  kSucceeded,
  kFailed,
  /// The worker stopped answering for the task.
  kLost,
};

struct TaskEvent {
  WorkerId worker;
  JobId job;
  TaskOutcome outcome = TaskOutcome::kSucceeded;
};

/// A worker on which several jobs in a row failed goes on probation and gets one canary at a time.
/// A canary that succeeds ends the probation; one that fails quarantines the worker for a time that
/// doubles with each failure. A job that failed on several workers is considered faulty, and its
/// failures count against no worker.
class WorkerHealthTracker {
 public:
  /// `now` comes from a monotonic clock.
  void Observe(const TaskEvent& event, Milliseconds now);

  /// kUnavailable while a worker is quarantined.
  WorkerHealth HealthOf(const WorkerId& worker, Milliseconds now) const;

  bool IsFaultyJob(const JobId& job) const;
  /// Forgets a job that has ended.
  void Forget(const JobId& job);

 private:
  struct Record {
    /// Jobs that failed on the worker since a task last succeeded there.
    std::set<JobId> failed_jobs;
    bool on_probation = false;
    Milliseconds quarantined_until{0};
    Milliseconds next_quarantine{0};
  };

  void ObserveFailure(const TaskEvent& event, Milliseconds now);
  void EndProbationIfCleared(Record& record) const;
  void Quarantine(Record& record, Milliseconds now) const;
  int CountFailures(const Record& record) const;

  std::map<WorkerId, Record> m_records;
  std::map<JobId, std::set<WorkerId>> m_failed_on;
};

}  // namespace papayalift
