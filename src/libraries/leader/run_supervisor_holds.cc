#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/leader/run_progress.h"
#include "libraries/leader/run_supervisor.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRetryDelay{300};
/// Each unanswered call to a minion without runs doubles the delay, at most this many times.
constexpr int kMaxRetryDoublings = 2;
/// Calls for a first report that may be unanswered at the same time. More would keep a new leader
/// of thousands of minions from renewing its term in time.
constexpr std::size_t kMaxFirstReportsInFlight = 256;
/// Delay between hold calls while ends are not stored: the minion would answer at once, because it
/// still lists them.
constexpr Milliseconds kUnsavedEndsDelay{500};

/// Whether the report lists the run as active or ended.
bool IsListed(const HoldReport& report, const TrackedRun& run) {
  const auto is_run = [&run](const auto& row) {
    return row.task == run.task && row.attempt == run.attempt;
  };
  return std::any_of(report.active.begin(), report.active.end(), is_run) ||
         std::any_of(report.ended.begin(), report.ended.end(), is_run);
}

}  // namespace

bool RunSupervisor::NeedsHold(const TrackedMinion& minion) const {
  const bool is_known =
      minion.has_reported && minion.unanswered_calls == 0 &&
      (!minion.entry.has_value() || minion.incarnation == minion.entry->incarnation);
  return !minion.runs.empty() || (!is_known && minion.entry.has_value()) ||
         minion.acknowledgeable_end() > minion.last_acknowledgement_sent;
}

void RunSupervisor::RequestHold(TrackedMinion& minion) {
  if (minion.is_hold_in_flight || m_is_closed) {
    return;
  }
  m_timers.Cancel(minion.hold_timer);
  minion.hold_timer = 0;
  SendHold(minion);
}

void RunSupervisor::RequestFirstReports() {
  std::deque<MinionId> idle;
  for (const auto& [id, minion] : m_state.minions) {
    if (minion.entry.has_value()) {
      (minion.runs.empty() ? idle : m_first_report_queue).push_back(id);
    }
  }
  m_first_report_queue.insert(m_first_report_queue.end(), idle.begin(), idle.end());
  RequestNextFirstReports();
}

void RunSupervisor::RequestNextFirstReports() {
  while (!m_first_report_queue.empty() && !m_is_closed &&
         m_first_reports_in_flight.size() < kMaxFirstReportsInFlight) {
    const MinionId id = m_first_report_queue.front();
    m_first_report_queue.pop_front();
    TrackedMinion* const minion = m_state.FindMinion(id);
    if (minion != nullptr && !minion->has_reported && !minion->is_hold_in_flight) {
      m_first_reports_in_flight.insert(id);
      RequestHold(*minion);
    }
  }
}

void RunSupervisor::RequestHoldLater(TrackedMinion& minion, Milliseconds delay) {
  m_timers.Cancel(minion.hold_timer);
  minion.hold_timer = m_timers.After(delay, [weak = weak_from_this(), id = minion.id] {
    const Self self = weak.lock();
    if (self == nullptr || self->m_is_closed) {
      return;
    }
    if (TrackedMinion* const found = self->m_state.FindMinion(id); found != nullptr) {
      found->hold_timer = 0;
      if (self->NeedsHold(*found)) {
        self->RequestHold(*found);
      }
    }
  });
}

void RunSupervisor::SendHold(TrackedMinion& minion) {
  // NOTE: the lease of a minion that does not answer must not be extended, or it would never
  // expire.
  const std::optional<MinionTime> lease = minion.unanswered_calls == 0
                                              ? NextLeaseEnd(minion, m_settings.usual_lease)
                                              : minion.lease_until;
  // NOTE: a new incarnation restarts its end numbers, so an acknowledgement meant for the previous
  // one would delete ends that were never reported. Ends are therefore only acknowledged if no
  // earlier call is unanswered. The minion applies the acknowledgement when the call arrives, so
  // the call may wait there for the next end.
  const bool acknowledges = minion.is_incarnation_confirmed &&
                            minion.acknowledgeable_end() > minion.last_acknowledgement_sent;
  const bool waits = minion.has_reported && !minion.runs.empty() && minion.unsaved_ends.empty() &&
                     minion.unanswered_calls == 0;
  const HoldOrder order{m_state.term.token, lease,
                        acknowledges ? minion.acknowledgeable_end() : EndNumber(0),
                        waits ? m_settings.hold_wait : Milliseconds(0)};
  if (order.lease_until.has_value()) {
    minion.lease_until =
        std::max(minion.lease_until.value_or(*order.lease_until), *order.lease_until);
  }
  if (acknowledges) {
    minion.last_acknowledgement_sent = order.acknowledged;
  }
  minion.is_hold_in_flight = true;
  m_minions.Hold(
      minion.destination(), order,
      [weak = weak_from_this(), id = minion.id, sent_at = Now()](const HoldAnswer& answer) {
        const Self self = weak.lock();
        if (self != nullptr && !self->m_is_closed) {
          self->OnHoldAnswer(id, sent_at, answer);
        }
      });
}

void RunSupervisor::OnHoldAnswer(const MinionId& id, Milliseconds sent_at,
                                 const HoldAnswer& answer) {
  TrackedMinion& minion = *m_state.FindMinion(id);
  minion.is_hold_in_flight = false;
  if (m_first_reports_in_flight.erase(id) > 0) {
    RequestNextFirstReports();
  }
  if (answer.result == OrderResult::kFenced) {
    m_callbacks.on_fenced();
    return;
  }
  if (answer.result != OrderResult::kDone) {
    OnHoldFailed(minion, answer);
    return;
  }
  if (minion.unanswered_calls > 1) {
    LogEvent(LogLevel::kInfo, "runs", "minion answers again")
        .Field("minion", id.text())
        .Field("silent_calls", minion.unanswered_calls)
        .Write();
  }
  minion.unanswered_calls = 0;
  minion.is_incarnation_confirmed = true;
  minion.last_report_at = Now();
  ProcessReport(minion, sent_at, answer.report);
  if (m_is_closed) {
    return;
  }
  if (!minion.unsaved_ends.empty()) {
    // Acknowledge() requests the next hold earlier, once the ends are stored.
    RequestHoldLater(minion, kUnsavedEndsDelay);
  } else if (NeedsHold(minion)) {
    RequestHold(minion);
  }
}

void RunSupervisor::OnHoldFailed(TrackedMinion& minion, const HoldAnswer& answer) {
  // The call may have carried an acknowledgement, which must be sent again.
  minion.last_acknowledgement_sent = EndNumber(0);
  RecordUnansweredCall(minion);
  if (minion.unanswered_calls == 2) {
    LogEvent(LogLevel::kWarning, "runs", "minion does not answer")
        .Field("minion", minion.id.text())
        .Field("runs", static_cast<std::int64_t>(minion.runs.size()))
        .Field("listed", minion.entry.has_value() ? 1 : 0)
        .Reason(answer.detail)
        .Write();
  }
  if (NeedsHold(minion)) {
    const int doublings =
        minion.runs.empty() ? std::clamp(minion.unanswered_calls - 1, 0, kMaxRetryDoublings) : 0;
    RequestHoldLater(minion, kRetryDelay * (1 << doublings));
  }
}

void RunSupervisor::ProcessReport(TrackedMinion& minion, Milliseconds sent_at,
                                  const HoldReport& report) {
  const MinionId id = minion.id;
  const bool is_first_report = !minion.has_reported || minion.incarnation != report.incarnation;
  UpdateIncarnation(minion, report.incarnation);
  minion.has_reported = true;
  minion.clock = report.clock;
  minion.clock_read_at = Now();
  ProcessEndedRuns(id, report);
  if (m_is_closed) {
    return;
  }
  ProcessActiveRuns(minion, report);
  ResolveMissingRuns(minion, sent_at, report);
  if (is_first_report) {
    m_callbacks.on_capacity_added();
  }
}

void RunSupervisor::UpdateIncarnation(TrackedMinion& minion, MinionIncarnation incarnation) {
  if (minion.incarnation == incarnation) {
    return;
  }
  if (minion.incarnation.value() != 0) {
    minion.last_end = EndNumber(0);
    minion.last_acknowledgement_sent = EndNumber(0);
    minion.unsaved_ends.clear();
    minion.lease_until.reset();
  }
  // NOTE: runs of the previous incarnation are not given up here but in ResolveMissingRuns(), like
  // all runs that a report does not list. A start in flight may have reached the new incarnation.
  minion.incarnation = incarnation;
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
    if (run->state == TrackedRunState::kOrdered) {
      run->state = TrackedRunState::kRunning;
      m_callbacks.on_started(*run);
    }
    RecordProgress(*run, active.percent, Now());
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
  std::vector<TaskName> never_started;
  std::vector<TaskName> gone;
  for (auto& [task, run] : minion.runs) {
    if (IsListed(report, run) || run.state == TrackedRunState::kDecided) {
      continue;
    }
    const bool was_stopped = run.stop_answered_at.has_value() && *run.stop_answered_at <= sent_at;
    const bool was_there =
        run.answered_at.has_value() && *run.answered_at < sent_at && !run.stop_wanted;
    if (!was_stopped && run.orders_sent == 0) {
      // Placed by a previous leader. Since this report the minion rejects that leader's orders.
      never_started.push_back(task);
    } else if (was_stopped || was_there) {
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
