#include "stand_ins/worker/worker_recorder.h"

#include <algorithm>

namespace papayalift {

namespace {

template <typename Record>
std::vector<Record> From(const std::vector<Record>& records, std::size_t first) {
  const std::size_t start = std::min(first, records.size());
  return std::vector<Record>(records.begin() + static_cast<std::ptrdiff_t>(start), records.end());
}

}  // namespace

void WorkerRecorder::Prepared(const PrepareRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  AttemptState& state = m_attempts[request.attempt];
  state.job = request.job;
  state.tasks = static_cast<int>(request.tasks.size());
}

void WorkerRecorder::Started(const AttemptId& attempt) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  AttemptState& state = m_attempts[attempt];
  if (state.started) {
    return;
  }
  state.started = true;
  state.renewed_at = m_clock.Now();
  m_starts.push_back(StartRecord{attempt, state.job, state.tasks, state.renewed_at});
}

void WorkerRecorder::Renewed(const std::vector<AttemptReport>& reports) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Milliseconds now = m_clock.Now();
  for (const AttemptReport& report : reports) {
    const auto state = m_attempts.find(report.attempt);
    if (state == m_attempts.end() || report.phase != AttemptPhase::kRunning) {
      continue;
    }
    m_renewals.push_back(RenewalRecord{report.attempt, now, now - state->second.renewed_at});
    state->second.renewed_at = now;
  }
}

WorkerRecord WorkerRecorder::RecordSince(std::size_t first_start, std::size_t first_renewal,
                                         const std::vector<AttemptId>& running) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  WorkerRecord record;
  record.starts = From(m_starts, first_start);
  record.renewals = From(m_renewals, first_renewal);
  for (const AttemptId& attempt : running) {
    const auto state = m_attempts.find(attempt);
    record.running.push_back(
        RunningAttempt{attempt, state == m_attempts.end() ? 0 : state->second.tasks});
  }
  return record;
}

}  // namespace papayalift
