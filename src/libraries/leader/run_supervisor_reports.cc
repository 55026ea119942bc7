#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/leader/run_progress.h"
#include "libraries/leader/run_supervisor.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Whether the report lists the run as active or ended.
bool IsListed(const HoldReport& report, const TrackedRun& run) {
  const auto is_run = [&run](const auto& row) {
    return row.task == run.task && row.attempt == run.attempt;
  };
  return std::any_of(report.active.begin(), report.active.end(), is_run) ||
         std::any_of(report.ended.begin(), report.ended.end(), is_run);
}

}  // namespace

void RunSupervisor::ProcessReport(TrackedMinion& minion, Milliseconds asked_at,
                                  const SentHold& sent, const HoldReport& report) {
  const MinionId id = minion.id;
  const bool is_first_contact = !minion.has_reported;
  const bool is_first_report = is_first_contact || minion.incarnation != report.incarnation;
  UpdateIncarnation(minion, report.incarnation);
  minion.has_reported = true;
  m_leases.RecordReport(minion, asked_at, sent.token, report,
                        is_first_report && !(is_first_contact && m_state.is_first_leader));
  ProcessEndedRuns(id, report);
  if (m_is_closed) {
    return;
  }
  ProcessActiveRuns(minion, report);
  ResolveMissingRuns(minion, sent.at, report);
  minion.previous_silence.reset();
  if (is_first_report) {
    m_callbacks.on_capacity_added();
  }
  m_awaited_reports.erase(id);
}

void RunSupervisor::UpdateIncarnation(TrackedMinion& minion, MinionIncarnation incarnation) {
  if (minion.incarnation == incarnation) {
    return;
  }
  if (minion.incarnation.value() != 0) {
    LogEvent(LogLevel::kInfo, "runs", "minion answers with a new incarnation")
        .Field("minion", minion.id.text())
        .Field("incarnation", incarnation.value())
        .Field("previous_incarnation", minion.incarnation.value())
        .Field("runs", static_cast<std::int64_t>(minion.runs.size()))
        .Field("failed_calls", minion.unanswered_calls)
        .Write();
    minion.last_end = EndNumber(0);
    minion.last_acknowledgement_sent = EndNumber(0);
    minion.unsent_acknowledgements = 0;
    minion.unsaved_ends.clear();
    // Times on the former process's clock.
    minion.lease_until.reset();
    minion.foreign_lease_until.reset();
    // The process may still be met by orders meant for the former one.
    minion.needs_higher_token = true;
    minion.is_barring_late_orders = false;
    minion.new_process_at = Now();
    if (!m_state.planned_ends.IsAnnounced(minion.id, minion.incarnation)) {
      minion.vanished_at =
          minion.previous_silence.has_value() ? minion.previous_silence->since : Now();
    }
  } else if (!minion.entry.has_value()) {
    // It was taken to have left before this term, but is only not registered.
    minion.vanished_at.reset();
  }
  // NOTE: runs of the previous incarnation are not given up here but in ResolveMissingRuns(), like
  // all runs that a report does not list. A start in flight may have reached the new incarnation.
  minion.incarnation = incarnation;
  minion.latest_process = incarnation;
}

void RunSupervisor::ProcessEndedRuns(const MinionId& id, const HoldReport& report) {
  std::vector<EndedRun> ends = report.ended;
  std::sort(ends.begin(), ends.end(),
            [](const EndedRun& left, const EndedRun& right) { return left.number < right.number; });
  for (const EndedRun& end : ends) {
    TrackedMinion& minion = *m_state.FindMinion(id);
    if (end.number <= minion.last_end) {
      continue;
    }
    minion.last_end = end.number;
    const auto run = minion.runs.find(end.task);
    if (run != minion.runs.end() && run->second.attempt == end.attempt) {
      m_state.RemoveRun(id, end.task);
    }
    m_callbacks.on_ended(id, end);
    if (m_is_closed) {
      return;
    }
  }
}

void RunSupervisor::ProcessActiveRuns(TrackedMinion& minion, const HoldReport& report) {
  for (const ActiveRun& active : report.active) {
    TrackedRun* const run = FindRun(active.task, minion.id, active.attempt);
    if (run == nullptr) {
      StopStrayRun(minion, active);
      continue;
    }
    run->answered_at = run->answered_at.value_or(Now());
    run->is_process_shown = true;
    // Another process than the one that the start was meant for may have taken it.
    run->incarnation = minion.incarnation;
    if (run->state == TrackedRunState::kOrdered) {
      run->state = TrackedRunState::kRunning;
      m_callbacks.on_started(*run);
    }
    RecordProgress(*run, active.percent, Now());
    const Milliseconds started_at = std::max(run->ordered_at, m_state.elected_at);
    run->has_outlived_start = run->has_outlived_start || Now() - started_at >= kStartProbation;
    m_callbacks.on_active(*run, active);
  }
}

/// Stops a run that this leader does not track: a late execution of an order that was given up or
/// that a previous leader sent.
void RunSupervisor::StopStrayRun(TrackedMinion& minion, const ActiveRun& active) {
  if (minion.runs.contains(active.task)) {
    return;
  }
  TrackedRun run;
  run.task = active.task;
  run.attempt = active.attempt;
  run.minion = minion.id;
  run.incarnation = minion.incarnation;
  run.state = TrackedRunState::kRunning;
  run.answered_at = Now();
  const TrackedJob* const job = m_state.FindJob(active.task.job);
  const std::size_t step = static_cast<std::size_t>(active.task.step);
  if (job != nullptr && step < job->accepted.work.steps.size()) {
    run.needs = job->accepted.work.steps[step].needs;
  }
  m_state.AddRun(minion, run);
  Stop(minion.runs.at(active.task), "the run has no placement");
}

void RunSupervisor::ResolveMissingRuns(TrackedMinion& minion, Milliseconds sent_at,
                                       const HoldReport& report) {
  if (!report.lists_all_ends) {
    // A run that is not listed may have ended, also as done. The next report comes once these ends
    // are stored and acknowledged.
    LogEvent(LogLevel::kInfo, "runs", "a report does not list all ends")
        .Field("minion", minion.id.text())
        .Field("ends", static_cast<std::int64_t>(report.ended.size()))
        .Field("runs", static_cast<std::int64_t>(minion.runs.size()))
        .Write();
    return;
  }
  std::vector<TaskName> never_started;
  std::vector<TaskName> gone;
  for (auto& [task, run] : minion.runs) {
    if (IsListed(report, run) || run.state == TrackedRunState::kDecided) {
      continue;
    }
    const bool was_stopped = run.stop_answered_at.has_value() && *run.stop_answered_at <= sent_at;
    const bool was_there =
        run.answered_at.has_value() && *run.answered_at < sent_at && !run.stop_wanted;
    const bool is_restored = run.orders_sent == 0;
    const bool is_new_incarnation = run.incarnation != report.incarnation;
    if (!was_stopped && is_restored && !is_new_incarnation) {
      // Placed by a previous leader. Since this report the minion rejects that leader's orders.
      never_started.push_back(task);
    } else if (was_stopped || was_there || is_restored) {
      gone.push_back(task);
    }
  }
  const MinionId id = minion.id;
  for (const TaskName& task : never_started) {
    LoseRun(id, task, RunLoss::kNeverStarted, "the minion has no such run");
  }
  for (const TaskName& task : gone) {
    LoseRun(id, task, RunLoss::kRunLost, "the minion no longer has the run");
  }
}

}  // namespace papayalift
