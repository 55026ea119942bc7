#include "libraries/decisions/worker_health_tracker.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Number of different jobs that fail in a row before a worker goes on probation.
constexpr int kFailuresBeforeProbation = 3;
/// Number of different workers on which a job fails before it is considered faulty.
constexpr std::size_t kWorkersBeforeJobIsFaulty = 3;
/// How long a worker is quarantined after its first failed canary, and at most.
constexpr Milliseconds kInitialQuarantine = std::chrono::minutes(1);
constexpr Milliseconds kMaxQuarantine = std::chrono::minutes(32);

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
  record.failed_jobs.insert(event.job);
  if (IsFaultyJob(event.job)) {
    for (auto& [worker, other] : m_records) {
      EndProbationIfCleared(other);
    }
    return;
  }
  if (record.on_probation) {
    Quarantine(record, now);
    return;
  }
  record.on_probation = CountFailures(record) >= kFailuresBeforeProbation;
  record.next_quarantine = kInitialQuarantine;
}

void WorkerHealthTracker::EndProbationIfCleared(Record& record) const {
  if (record.on_probation && CountFailures(record) < kFailuresBeforeProbation) {
    record.on_probation = false;
    record.quarantined_until = Milliseconds{0};
  }
}

void WorkerHealthTracker::Quarantine(Record& record, Milliseconds now) const {
  record.quarantined_until = now + record.next_quarantine;
  record.next_quarantine = std::min(kMaxQuarantine, 2 * record.next_quarantine);
}

int WorkerHealthTracker::CountFailures(const Record& record) const {
  return static_cast<int>(std::count_if(record.failed_jobs.begin(), record.failed_jobs.end(),
                                        [this](const JobId& job) { return !IsFaultyJob(job); }));
}

WorkerHealth WorkerHealthTracker::HealthOf(const WorkerId& worker, Milliseconds now) const {
  const auto record = m_records.find(worker);
  if (record == m_records.end() || !record->second.on_probation) {
    return WorkerHealth::kHealthy;
  }
  return now < record->second.quarantined_until ? WorkerHealth::kUnavailable
                                                : WorkerHealth::kProbation;
}

bool WorkerHealthTracker::IsFaultyJob(const JobId& job) const {
  const auto failed_on = m_failed_on.find(job);
  return failed_on != m_failed_on.end() && failed_on->second.size() >= kWorkersBeforeJobIsFaulty;
}

void WorkerHealthTracker::Forget(const JobId& job) { m_failed_on.erase(job); }

}  // namespace papayalift
