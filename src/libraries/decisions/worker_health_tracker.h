/// Tells workers that fail what they start from jobs that fail wherever they run.
#pragma once

#include <map>
#include <set>

#include "libraries/decisions/snapshot.h"

namespace papayalift {

enum class TaskOutcome {
  kSucceeded,
  kFailed,
  /// The worker stopped answering for it.
  kLost,
};

struct TaskEvent {
  WorkerId worker;
  JobId job;
  TaskOutcome outcome = TaskOutcome::kSucceeded;
};

/// A worker on which several jobs in a row failed goes on probation: one canary at a time. A canary
/// that passes brings it back; one that fails keeps it away for a time that doubles each time. A
/// job that failed on several workers is to blame itself, and its failures count against no worker.
class WorkerHealthTracker {
 public:
  /// `now` is a clock that never goes back.
  void Observe(const TaskEvent& event, Milliseconds now);

  /// kUnavailable while a worker on probation is kept away.
  WorkerHealth HealthOf(const WorkerId& worker, Milliseconds now) const;

  bool IsFaultyJob(const JobId& job) const;
  /// A job that is over is forgotten.
  void Forget(const JobId& job);

 private:
  struct Record {
    /// Jobs that failed here since a task last succeeded.
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
