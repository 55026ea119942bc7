#include "libraries/decisions/worker_health_tracker.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Different jobs that fail in a row before a worker goes on probation.
constexpr int kFailuresToProbation = 3;
/// Different workers on which a job fails before it is to blame itself.
constexpr std::size_t kWorkersToBlameJob = 3;
/// How long a worker is kept away after its first failed canary, and at most.
constexpr Milliseconds kFirstAbsence = std::chrono::minutes(1);
constexpr Milliseconds kLongestAbsence = std::chrono::minutes(32);

}  // namespace

void WorkerHealthTracker::Observe(const TaskEvent& event, Milliseconds now) {
  if (event.outcome == TaskOutcome::kSucceeded) {
    m_records.erase(event.worker);
    m_failed_on.erase(event.job);
    return;
  }
  ObserveFailure(event, now);
}

void WorkerHealthTracker::ObserveFailure(const TaskEvent& event, Milliseconds now) {
  m_failed_on[event.job].insert(event.worker);
  Record& record = m_records[event.worker];
  record.failed.insert(event.job);
  if (IsToBlame(event.job)) {
    for (auto& [worker, other] : m_records) {
      ReturnUnlessOthersFailed(other);
    }
    return;
  }
  if (record.on_probation) {
    KeepAway(record, now);
    return;
  }
  record.on_probation = FailuresOf(record) >= kFailuresToProbation;
  record.next_absence = kFirstAbsence;
}

void WorkerHealthTracker::ReturnUnlessOthersFailed(Record& record) const {
  if (record.on_probation && FailuresOf(record) < kFailuresToProbation) {
    record.on_probation = false;
    record.kept_away_until = Milliseconds{0};
  }
}

void WorkerHealthTracker::KeepAway(Record& record, Milliseconds now) const {
  record.kept_away_until = now + record.next_absence;
  record.next_absence = std::min(kLongestAbsence, 2 * record.next_absence);
}

int WorkerHealthTracker::FailuresOf(const Record& record) const {
  return static_cast<int>(std::count_if(record.failed.begin(), record.failed.end(),
                                        [this](const JobId& job) { return !IsToBlame(job); }));
}

WorkerHealth WorkerHealthTracker::HealthOf(const WorkerId& worker, Milliseconds now) const {
  const auto record = m_records.find(worker);
  if (record == m_records.end() || !record->second.on_probation) {
    return WorkerHealth::kHealthy;
  }
  return now < record->second.kept_away_until ? WorkerHealth::kUnavailable
                                              : WorkerHealth::kProbation;
}

bool WorkerHealthTracker::IsToBlame(const JobId& job) const {
  const auto failed_on = m_failed_on.find(job);
  return failed_on != m_failed_on.end() && failed_on->second.size() >= kWorkersToBlameJob;
}

void WorkerHealthTracker::Forget(const JobId& job) { m_failed_on.erase(job); }

}  // namespace papayalift
