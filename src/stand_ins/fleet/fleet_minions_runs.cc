#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

namespace {

constexpr Milliseconds kMaxLeaseDuration{10'000};
/// Time that the members of a gang wait for each other.
constexpr Milliseconds kGangTimeout{3'000};

}  // namespace

int FleetMinions::PercentOf(const Run& run) const {
  if (!run.began_at.has_value()) {
    return 0;
  }
  constexpr std::int64_t kWholePercent = 100;
  const std::int64_t whole = std::max<std::int64_t>(1, (*run.ends_at - *run.began_at).count());
  const std::int64_t worked = (m_timers.clock().Now() - *run.began_at).count();
  return static_cast<int>(std::min(kWholePercent, worked * kWholePercent / whole));
}

void FleetMinions::ExtendLease(Minion& minion, MinionTime until) {
  const MinionTime most(ClockOf(minion).value() + kMaxLeaseDuration.count());
  const MinionTime granted = std::min(until, most);
  minion.lease_until = std::max(minion.lease_until.value_or(granted), granted);
}

void FleetMinions::BeginIfGangComplete(const TaskName& task, AttemptNumber attempt) {
  const StepSpec* const step = StepOf(task);
  std::vector<Run*> members;
  double slowest = std::numeric_limits<double>::infinity();
  for (auto& [id, minion] : m_minions) {
    for (auto& [name, run] : minion.runs) {
      const bool is_member = step != nullptr && step->kind == WorkStepKind::kGang
                                 ? name.job == task.job && name.step == task.step
                                 : name == task;
      if (is_member && run.attempt == attempt) {
        members.push_back(&run);
        slowest = std::min(slowest, minion.speed);
      }
    }
  }
  const std::size_t wanted = step != nullptr && step->kind == WorkStepKind::kGang
                                 ? static_cast<std::size_t>(step->count)
                                 : 1;
  if (members.size() < wanted) {
    return;
  }
  const auto job = m_jobs.find(task.job);
  const Milliseconds work = job == m_jobs.end() ? Milliseconds(1'000) : job->second.duration;
  const Milliseconds duration(std::llround(static_cast<double>(work.count()) / slowest));
  for (Run* const run : members) {
    run->began_at = m_timers.clock().Now();
    run->ends_at = m_timers.clock().Now() + duration;
  }
}

void FleetMinions::AdvanceAll() {
  for (auto& [id, minion] : m_minions) {
    Advance(minion);
  }
}

void FleetMinions::Advance(Minion& minion) {
  if (minion.lease_until.has_value() && ClockOf(minion) > *minion.lease_until) {
    for (const EndedRun& end : minion.ended) {
      minion.lapsed_ends.insert(end.number);
    }
    while (!minion.runs.empty()) {
      End(minion, minion.runs.begin()->first, EndKind::kLeaseExpired);
    }
  }
  const Milliseconds now = m_timers.clock().Now();
  std::vector<Run> over;
  for (const auto& [task, run] : minion.runs) {
    const bool is_alone =
        IsGang(task) && !run.began_at.has_value() && now > run.accepted_at + kGangTimeout;
    const bool is_done = run.ends_at.has_value() && *run.ends_at <= now;
    if ((is_alone || is_done) && !run.is_stopping) {
      over.push_back(run);
    }
  }
  for (const Run& run : over) {
    // The run may already have ended together with its gang.
    if (minion.runs.contains(run.task)) {
      EndRun(minion, run);
    }
  }
}

void FleetMinions::EndRun(Minion& minion, const Run& run) {
  if (!run.began_at.has_value()) {
    End(minion, run.task, EndKind::kGangIncomplete);
    return;
  }
  const auto job = m_jobs.find(run.task.job);
  if (job != m_jobs.end() && run.attempt.value() <= job->second.failing_attempts) {
    End(minion, run.task, EndKind::kFailed);
    return;
  }
  if (!IsGang(run.task)) {
    End(minion, run.task, EndKind::kDone);
    return;
  }
  // All members of a gang complete together.
  for (auto& [id, other] : m_minions) {
    for (const TaskName& task : MembersOn(other, run)) {
      End(other, task, EndKind::kDone);
    }
  }
}

bool FleetMinions::IsGang(const TaskName& task) const {
  const StepSpec* const step = StepOf(task);
  return step != nullptr && step->kind == WorkStepKind::kGang;
}

std::vector<TaskName> FleetMinions::MembersOn(const Minion& minion, const Run& run) {
  std::vector<TaskName> members;
  for (const auto& [task, other] : minion.runs) {
    if (task.job == run.task.job && task.step == run.task.step && other.attempt == run.attempt) {
      members.push_back(task);
    }
  }
  return members;
}

/// Ends the other members of a gang when one member of it ends early.
void FleetMinions::BreakGangOf(const Run& run) {
  if (!run.began_at.has_value() || !IsGang(run.task)) {
    return;
  }
  for (auto& [id, minion] : m_minions) {
    for (const TaskName& task : MembersOn(minion, run)) {
      // The run may already have ended together with another member.
      if (minion.runs.contains(task)) {
        End(minion, task, EndKind::kGangBroken);
      }
    }
  }
}

void FleetMinions::End(Minion& minion, const TaskName& task, EndKind kind) {
  // NOTE: `task` may be the key of the run that is erased here.
  const Run run = minion.runs.at(task);
  minion.runs.erase(run.task);
  AttemptNumber& barred = minion.barred[run.task];
  barred = std::max(barred, run.attempt);
  if (kind == EndKind::kDone) {
    m_done.insert(run.task);
  }
  minion.ended.push_back(EndedRun{EndNumber(++minion.last_end), run.task, run.attempt, kind, ""});
  if (kind != EndKind::kDone) {
    BreakGangOf(run);
  }
}

// --- observations ---

int FleetMinions::starts(const JobId& job) const {
  const auto found = m_starts.find(job);
  return found == m_starts.end() ? 0 : found->second;
}

int FleetMinions::starts() const {
  int sum = 0;
  for (const auto& [job, count] : m_starts) {
    sum += count;
  }
  return sum;
}

std::map<JobId, JobRecord> FleetMinions::Records() const {
  std::map<JobId, JobRecord> records;
  for (const auto& [job, count] : m_starts) {
    records[job].starts = count;
    records[job].last_order_at = m_last_orders.at(job);
  }
  for (const auto& [id, minion] : m_minions) {
    for (const auto& [task, run] : minion.runs) {
      ++records[task.job].running;
    }
  }
  for (const TaskName& task : m_done) {
    ++records[task.job].done;
  }
  return records;
}

std::vector<JobId> FleetMinions::InterruptedJobs() const {
  std::vector<JobId> interrupted;
  for (const auto& [id, record] : Records()) {
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end() || record.running > 0) {
      continue;
    }
    int tasks = 0;
    for (const StepSpec& step : job->second.work.steps) {
      tasks += step.count;
    }
    if (record.done < tasks) {
      interrupted.push_back(id);
    }
  }
  return interrupted;
}

std::vector<TaskName> FleetMinions::TasksOn(const MinionId& id) const {
  std::vector<TaskName> tasks;
  for (const auto& [task, run] : m_minions.at(id).runs) {
    tasks.push_back(task);
  }
  return tasks;
}

std::vector<MinionId> FleetMinions::RunningOn(const JobId& job) const {
  std::vector<MinionId> found;
  for (const auto& [id, minion] : m_minions) {
    for (const auto& [task, run] : minion.runs) {
      if (task.job == job) {
        found.push_back(id);
      }
    }
  }
  return found;
}

}  // namespace papayalift
