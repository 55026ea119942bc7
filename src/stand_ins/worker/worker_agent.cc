#include "stand_ins/worker/worker_agent.h"

#include <algorithm>

namespace papayalift {

namespace {

constexpr Milliseconds kCheckpointInterval{500};
/// Number of finished attempts to keep, so that a late start request for one is refused.
constexpr std::size_t kRememberedAttempts = 10'000;

bool IsOpen(AttemptPhase phase) {
  return phase == AttemptPhase::kReserved || phase == AttemptPhase::kRunning;
}

}  // namespace

WorkerAgent::WorkerAgent(const Clock& clock, AcceleratorCount accelerators)
    : m_clock(clock), m_accelerators(AcceleratorSet::First(accelerators)) {}

absl::Status WorkerAgent::Prepare(const PrepareRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  SettleLocked();
  const auto known = m_attempts.find(request.attempt);
  if (known != m_attempts.end()) {
    return known->second.phase == AttemptPhase::kReserved
               ? absl::OkStatus()
               : absl::AbortedError("the attempt is already present on this worker");
  }
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.job == request.job && IsOpen(attempt.phase)) {
      return absl::AbortedError("another attempt of the job is active on this worker");
    }
  }
  AcceleratorSet wanted;
  for (const AcceleratorSet task : request.tasks) {
    if (wanted.Overlaps(task)) {
      return absl::AbortedError("two tasks request the same accelerator");
    }
    wanted = wanted.Union(task);
  }
  if (!m_accelerators.Contains(wanted) || HeldLocked().Overlaps(wanted)) {
    return absl::AbortedError("the accelerators are in use or do not exist");
  }
  Attempt attempt;
  attempt.job = request.job;
  attempt.id = request.attempt;
  attempt.tasks = request.tasks;
  attempt.lease_until = m_clock.Now() + request.reservation_lease;
  m_attempts[request.attempt] = attempt;
  return absl::OkStatus();
}

absl::Status WorkerAgent::Start(const StartRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  SettleLocked();
  const auto known = m_attempts.find(request.attempt);
  if (known == m_attempts.end()) {
    return absl::AbortedError("the attempt has no reservation");
  }
  Attempt& attempt = known->second;
  if (attempt.phase == AttemptPhase::kRunning) {
    return absl::OkStatus();
  }
  if (attempt.phase != AttemptPhase::kReserved) {
    return absl::AbortedError("the reservation has expired or the attempt has ended");
  }
  attempt.phase = AttemptPhase::kRunning;
  attempt.ever_started = EverStarted::kYes;
  attempt.started_at = m_clock.Now();
  attempt.lease_until = attempt.started_at + request.run_lease;
  attempt.resume_from = request.resume_from;
  attempt.checkpoint = request.resume_from;
  attempt.script = ParseTaskScript(request.payload);
  if (m_fault_mode == FaultMode::kFailsEverything) {
    attempt.script = TaskScript{Milliseconds(0), TaskEnd::kFails};
  }
  m_started.push_back(request.attempt);
  return absl::OkStatus();
}

AttemptReport WorkerAgent::Stop(const StopRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  SettleLocked();
  const auto known = m_attempts.find(request.attempt);
  if (known == m_attempts.end()) {
    Attempt barred;
    barred.job = request.job;
    barred.id = request.attempt;
    barred.phase = AttemptPhase::kStopped;
    // An unknown attempt may still have started: the worker may have restarted since, or have
    // discarded the record of an attempt that ended long ago.
    barred.ever_started = EverStarted::kYes;
    m_attempts[request.attempt] = barred;
    RememberLocked(request.attempt);
    return ReportOf(barred);
  }
  Attempt& attempt = known->second;
  if (attempt.phase == AttemptPhase::kRunning && request.mode == StopMode::kCheckpoint) {
    attempt.checkpoint = attempt.resume_from + (m_clock.Now() - attempt.started_at);
  }
  if (IsOpen(attempt.phase)) {
    attempt.phase = AttemptPhase::kStopped;
    RememberLocked(attempt.id);
  }
  return ReportOf(attempt);
}

std::vector<AttemptReport> WorkerAgent::Renew(const RenewRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  SettleLocked();
  std::vector<AttemptReport> reports;
  for (const AttemptId& id : request.attempts) {
    const auto known = m_attempts.find(id);
    if (known == m_attempts.end()) {
      AttemptReport unknown;
      unknown.attempt = id;
      reports.push_back(unknown);
      continue;
    }
    if (known->second.phase == AttemptPhase::kRunning) {
      known->second.lease_until =
          std::max(known->second.lease_until, m_clock.Now() + request.run_lease);
    }
    reports.push_back(ReportOf(known->second));
  }
  return reports;
}

void WorkerAgent::SetFaultMode(FaultMode mode) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_fault_mode = mode;
}

void WorkerAgent::Forget() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_attempts.clear();
  m_finished.clear();
}

std::vector<AttemptId> WorkerAgent::started() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_started;
}

std::vector<AttemptId> WorkerAgent::running() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  SettleLocked();
  std::vector<AttemptId> running;
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.phase == AttemptPhase::kRunning) {
      running.push_back(id);
    }
  }
  return running;
}

void WorkerAgent::SettleLocked() {
  const Milliseconds now = m_clock.Now();
  std::vector<AttemptId> ended;
  for (auto& [id, attempt] : m_attempts) {
    const bool was_open = IsOpen(attempt.phase);
    if (attempt.phase == AttemptPhase::kReserved && now >= attempt.lease_until) {
      attempt.phase = AttemptPhase::kStopped;
    } else if (attempt.phase == AttemptPhase::kRunning) {
      SettleRunning(attempt, now);
    }
    if (was_open && !IsOpen(attempt.phase)) {
      ended.push_back(id);
    }
  }
  for (const AttemptId& id : ended) {
    RememberLocked(id);
  }
}

void WorkerAgent::SettleRunning(Attempt& attempt, Milliseconds now) {
  const Milliseconds left = std::max(Milliseconds(0), attempt.script.work - attempt.resume_from);
  const Milliseconds ends_at = attempt.started_at + left;
  const Milliseconds ran_until = std::min(now, attempt.lease_until);
  if (ends_at <= ran_until) {
    attempt.phase =
        attempt.script.end == TaskEnd::kSucceeds ? AttemptPhase::kSucceeded : AttemptPhase::kFailed;
    return;
  }
  const std::int64_t checkpoints = (ran_until - attempt.started_at) / kCheckpointInterval;
  attempt.checkpoint = attempt.resume_from + checkpoints * kCheckpointInterval;
  if (now >= attempt.lease_until) {
    attempt.phase = AttemptPhase::kStopped;
  }
}

AcceleratorSet WorkerAgent::HeldLocked() const {
  AcceleratorSet held;
  for (const auto& [id, attempt] : m_attempts) {
    if (IsOpen(attempt.phase)) {
      for (const AcceleratorSet task : attempt.tasks) {
        held = held.Union(task);
      }
    }
  }
  return held;
}

void WorkerAgent::RememberLocked(const AttemptId& id) {
  m_finished.push_back(id);
  if (m_finished.size() > kRememberedAttempts) {
    m_attempts.erase(m_finished.front());
    m_finished.pop_front();
  }
}

AttemptReport WorkerAgent::ReportOf(const Attempt& attempt) {
  AttemptReport report;
  report.attempt = attempt.id;
  report.phase = attempt.phase;
  report.ever_started = attempt.ever_started;
  report.checkpoint = attempt.checkpoint;
  return report;
}

}  // namespace papayalift
