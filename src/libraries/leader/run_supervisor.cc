#include "libraries/leader/run_supervisor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/leader/run_progress.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// A minion's clock may be this much slower than ours; a little is added for rounding.
constexpr double kSlowestClockRate = 0.975;
constexpr Milliseconds kLeaseMargin{150};
constexpr Milliseconds kRetryPause{300};
constexpr Milliseconds kStopRetryPause{400};
/// While ends can't be stored, a waiting report would come back at once.
constexpr Milliseconds kUnsavedEndsPause{500};
constexpr int kMostStartOrders = 3;

/// At work, or ended.
bool IsListed(const HoldReport& report, const TrackedRun& run) {
  const auto is_run = [&run](const auto& row) {
    return row.task == run.task && row.attempt == run.attempt;
  };
  return std::any_of(report.active.begin(), report.active.end(), is_run) ||
         std::any_of(report.ended.begin(), report.ended.end(), is_run);
}

}  // namespace

RunSupervisor::RunSupervisor(Timers& timers, MinionPort& minions, LeaderState& state,
                             SupervisorSettings settings,
                             std::function<Milliseconds()> term_confirmed_at,
                             SupervisorCallbacks callbacks)
    : m_timers(timers),
      m_minions(minions),
      m_state(state),
      m_settings(settings),
      m_term_confirmed_at(std::move(term_confirmed_at)),
      m_callbacks(std::move(callbacks)) {}

TrackedRun* RunSupervisor::FindRun(const TaskName& task, const MinionId& minion,
                                   AttemptNumber attempt) {
  TrackedMinion* const found_minion = m_state.FindMinion(minion);
  if (found_minion == nullptr) {
    return nullptr;
  }
  const auto found = found_minion->runs.find(task);
  return found == found_minion->runs.end() || found->second.attempt != attempt ? nullptr
                                                                               : &found->second;
}

MinionTime RunSupervisor::LeastClock(const TrackedMinion& minion) const {
  const double passed = static_cast<double>((Now() - minion.clock_at).count());
  return MinionTime(minion.clock.value() + static_cast<std::int64_t>(passed * kSlowestClockRate));
}

std::optional<MinionTime> RunSupervisor::NextLease(const TrackedMinion& minion) const {
  if (!minion.is_confirmed) {
    return std::nullopt;
  }
  // A later leader counts from the start of its own term, which is not before the last
  // confirmation.
  const Milliseconds left = m_term_confirmed_at() + m_settings.longest_lease - Now();
  return MinionTime(LeastClock(minion).value() + std::max(Milliseconds(0), left).count());
}

void RunSupervisor::NoteSilence(TrackedMinion& minion) {
  ++minion.silent_calls;
  minion.is_life_sure = false;
}

// --- starts ---

void RunSupervisor::Start(TrackedRun& run, const std::string& payload,
                          const std::string& checkpoint) {
  run.state = RunState::kOrdered;
  SendStart(run.task, run.minion, run.attempt, payload, checkpoint);
}

void RunSupervisor::SendStart(const TaskName& task, const MinionId& minion_id,
                              AttemptNumber attempt, const std::string& payload,
                              const std::string& checkpoint) {
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  TrackedRun& run = *FindRun(task, minion_id, attempt);
  const std::optional<MinionTime> lease = NextLease(minion);
  if (!lease.has_value()) {
    Lose(minion_id, task, RunLoss::kNeverStarted, "the minion's clock is not known");
    return;
  }
  minion.lease_until = std::max(minion.lease_until.value_or(*lease), *lease);
  ++run.orders_sent;
  const StartOrder order{task, attempt, payload, *lease, m_state.term.token, checkpoint};
  m_minions.Start(minion.destination(), order,
                  [weak = weak_from_this(), order, minion_id](const OrderAnswer& answer) {
                    const Self self = weak.lock();
                    if (self != nullptr && !self->m_is_closed) {
                      self->OnStartAnswer(order, minion_id, answer);
                    }
                  });
}

void RunSupervisor::OnStartAnswer(const StartOrder& order, const MinionId& minion_id,
                                  const OrderAnswer& answer) {
  if (answer.result == OrderResult::kFenced) {
    m_callbacks.on_fenced();
    return;
  }
  TrackedRun* const run = FindRun(order.task, minion_id, order.attempt);
  if (run == nullptr) {
    return;
  }
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  if (answer.result == OrderResult::kDone) {
    minion.silent_calls = 0;
    run->answered_at = Now();
    if (run->state == RunState::kOrdered) {
      run->state = RunState::kRunning;
      run->running_since = Now();
      m_callbacks.on_started(*run);
    }
    Hold(minion);
    return;
  }
  const bool may_be_there = run->orders_sent > 1 || answer.result == OrderResult::kUnclear;
  if (answer.result == OrderResult::kUnclear || (may_be_there && run->state == RunState::kOrdered &&
                                                 answer.result == OrderResult::kNotSent)) {
    NoteSilence(minion);
    if (run->state == RunState::kOrdered && run->orders_sent < kMostStartOrders) {
      SendStart(order.task, minion_id, order.attempt, order.payload, order.checkpoint);
    } else {
      Stop(*run, "its start was not answered");
    }
    return;
  }
  if (may_be_there) {
    Stop(*run, "a repeated start was refused");
    return;
  }
  minion.health.avoid_until = std::max(minion.health.avoid_until, Now() + kRetryPause);
  if (answer.result == OrderResult::kNotSent) {
    NoteSilence(minion);
  }
  Hold(minion);
  Lose(minion_id, order.task, RunLoss::kNeverStarted, answer.detail);
}

// --- stops ---

void RunSupervisor::Stop(TrackedRun& run, const std::string& reason) {
  if (run.stop_wanted) {
    return;
  }
  run.stop_wanted = true;
  run.stop_reason = reason;
  if (run.state == RunState::kDecided) {
    // Nothing was sent; the journal's answer settles it.
    return;
  }
  run.state = RunState::kStopping;
  LogEvent(LogLevel::kInfo, "runs", "stopping a run")
      .Job(run.task.job)
      .Field("task", TaskNameText(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Reason(reason)
      .Write();
  SendStop(run.task, run.minion, run.attempt);
}

void RunSupervisor::SendStop(const TaskName& task, const MinionId& minion_id,
                             AttemptNumber attempt) {
  const TrackedMinion& minion = *m_state.FindMinion(minion_id);
  const StopOrder order{task, attempt, m_state.term.token};
  m_minions.Stop(minion.destination(), order,
                 [weak = weak_from_this(), order, minion_id](const OrderAnswer& answer) {
                   const Self self = weak.lock();
                   if (self != nullptr && !self->m_is_closed) {
                     self->OnStopAnswer(order, minion_id, answer);
                   }
                 });
}

void RunSupervisor::OnStopAnswer(const StopOrder& order, const MinionId& minion_id,
                                 const OrderAnswer& answer) {
  if (answer.result == OrderResult::kFenced) {
    m_callbacks.on_fenced();
    return;
  }
  TrackedRun* const run = FindRun(order.task, minion_id, order.attempt);
  if (run == nullptr) {
    return;
  }
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  if (answer.result != OrderResult::kDone) {
    NoteSilence(minion);
    StopLater(order.task, minion_id, order.attempt);
    return;
  }
  minion.silent_calls = 0;
  run->stop_answered_at = Now();
  Hold(minion);
}

void RunSupervisor::StopLater(const TaskName& task, const MinionId& minion, AttemptNumber attempt) {
  m_timers.After(kStopRetryPause, [weak = weak_from_this(), task, minion, attempt] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed && self->FindRun(task, minion, attempt) != nullptr) {
      self->SendStop(task, minion, attempt);
    }
  });
}

// --- holds ---

bool RunSupervisor::NeedsHold(const TrackedMinion& minion) const {
  const bool is_known = minion.is_confirmed && minion.silent_calls == 0 &&
                        (!minion.entry.has_value() || minion.life == minion.entry->life);
  return !minion.runs.empty() || (!is_known && minion.entry.has_value()) ||
         minion.acknowledgeable() > minion.acknowledged_sent;
}

void RunSupervisor::Hold(TrackedMinion& minion) {
  if (minion.is_hold_in_flight || m_is_closed) {
    return;
  }
  m_timers.Cancel(minion.hold_timer);
  minion.hold_timer = 0;
  SendHold(minion);
}

void RunSupervisor::HoldAfter(TrackedMinion& minion, Milliseconds delay) {
  m_timers.Cancel(minion.hold_timer);
  minion.hold_timer = m_timers.After(delay, [weak = weak_from_this(), id = minion.id] {
    const Self self = weak.lock();
    if (self == nullptr || self->m_is_closed) {
      return;
    }
    if (TrackedMinion* const found = self->m_state.FindMinion(id); found != nullptr) {
      found->hold_timer = 0;
      if (self->NeedsHold(*found)) {
        self->Hold(*found);
      }
    }
  });
}

void RunSupervisor::SendHold(TrackedMinion& minion) {
  // NOTE: to a minion that does not answer the lease must not be extended, or it would never be
  // over.
  const std::optional<MinionTime> lease =
      minion.silent_calls == 0 ? NextLease(minion) : minion.lease_until;
  // NOTE: a new life counts its ends anew, and must not forget ends that it has not shown. So only
  // a call that is answered at once acknowledges, and none after a call without an answer.
  const bool acknowledges =
      minion.is_life_sure && minion.acknowledgeable() > minion.acknowledged_sent;
  const bool waits = !acknowledges && minion.is_confirmed && !minion.runs.empty() &&
                     minion.unsaved_ends.empty() && minion.silent_calls == 0;
  const HoldOrder order{m_state.term.token, lease,
                        acknowledges ? minion.acknowledgeable() : EndNumber(0),
                        waits ? m_settings.hold_wait : Milliseconds(0)};
  if (order.lease_until.has_value()) {
    minion.lease_until =
        std::max(minion.lease_until.value_or(*order.lease_until), *order.lease_until);
  }
  if (acknowledges) {
    minion.acknowledged_sent = order.acknowledged;
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
  if (answer.result == OrderResult::kFenced) {
    m_callbacks.on_fenced();
    return;
  }
  if (answer.result != OrderResult::kDone) {
    OnHoldFailed(minion, answer);
    return;
  }
  if (minion.silent_calls > 1) {
    LogEvent(LogLevel::kInfo, "runs", "minion reached again")
        .Field("minion", id.text())
        .Field("silent_calls", minion.silent_calls)
        .Write();
  }
  minion.silent_calls = 0;
  minion.is_life_sure = true;
  minion.heard_at = Now();
  TakeReport(minion, sent_at, answer.report);
  if (m_is_closed) {
    return;
  }
  if (!minion.unsaved_ends.empty()) {
    // Asked again once the ends are stored.
    HoldAfter(minion, kUnsavedEndsPause);
  } else if (NeedsHold(minion)) {
    Hold(minion);
  }
}

void RunSupervisor::OnHoldFailed(TrackedMinion& minion, const HoldAnswer& answer) {
  // An acknowledgement may be lost with it.
  minion.acknowledged_sent = EndNumber(0);
  NoteSilence(minion);
  if (minion.silent_calls == 2) {
    LogEvent(LogLevel::kWarning, "runs", "minion does not answer")
        .Field("minion", minion.id.text())
        .Field("runs", static_cast<std::int64_t>(minion.runs.size()))
        .Field("listed", minion.entry.has_value() ? 1 : 0)
        .Reason(answer.detail)
        .Write();
  }
  if (NeedsHold(minion)) {
    HoldAfter(minion, kRetryPause);
  }
}

void RunSupervisor::TakeReport(TrackedMinion& minion, Milliseconds sent_at,
                               const HoldReport& report) {
  const MinionId id = minion.id;
  const bool is_first = !minion.is_confirmed || minion.life != report.life;
  TakeLife(minion, report.life);
  minion.is_confirmed = true;
  minion.clock = report.clock;
  minion.clock_at = Now();
  TakeEnds(id, report);
  if (m_is_closed) {
    return;
  }
  TakeActive(minion, report);
  SettleAbsent(minion, sent_at, report);
  if (is_first) {
    m_callbacks.on_room();
  }
}

void RunSupervisor::TakeLife(TrackedMinion& minion, MinionLife life) {
  if (minion.life == life) {
    return;
  }
  if (minion.life.value() != 0) {
    minion.last_end = EndNumber(0);
    minion.acknowledged_sent = EndNumber(0);
    minion.unsaved_ends.clear();
    minion.lease_until.reset();
  }
  // NOTE: what ran in the old life is settled below like all that a report does not list; a start
  // that was under way may have reached the new life.
  minion.life = life;
}

void RunSupervisor::TakeEnds(const MinionId& id, const HoldReport& report) {
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

void RunSupervisor::TakeActive(TrackedMinion& minion, const HoldReport& report) {
  for (const ActiveRun& active : report.active) {
    TrackedRun* const run = FindRun(active.task, minion.id, active.attempt);
    if (run == nullptr) {
      AddStray(minion, active);
      continue;
    }
    run->answered_at = run->answered_at.value_or(Now());
    if (run->state == RunState::kOrdered) {
      run->state = RunState::kRunning;
      m_callbacks.on_started(*run);
    }
    NoteProgress(*run, active.percent, Now());
    m_callbacks.on_active(*run, active);
  }
}

/// An order that was given up, or a former leader's, was carried out after all.
void RunSupervisor::AddStray(TrackedMinion& minion, const ActiveRun& active) {
  if (minion.runs.contains(active.task)) {
    return;
  }
  TrackedRun run;
  run.task = active.task;
  run.attempt = active.attempt;
  run.minion = minion.id;
  run.life = minion.life;
  run.state = RunState::kRunning;
  run.answered_at = Now();
  const TrackedJob* const job = m_state.FindJob(active.task.job);
  const std::size_t step = static_cast<std::size_t>(active.task.step);
  if (job != nullptr && step < job->accepted.work.steps.size()) {
    run.needs = job->accepted.work.steps[step].needs;
  }
  m_state.AddRun(minion, run);
  Stop(minion.runs.at(active.task), "it runs without a placement");
}

void RunSupervisor::SettleAbsent(TrackedMinion& minion, Milliseconds sent_at,
                                 const HoldReport& report) {
  std::vector<TaskName> never_started;
  std::vector<TaskName> gone;
  for (auto& [task, run] : minion.runs) {
    if (IsListed(report, run) || run.state == RunState::kDecided) {
      continue;
    }
    const bool was_stopped = run.stop_answered_at.has_value() && *run.stop_answered_at <= sent_at;
    const bool was_there =
        run.answered_at.has_value() && *run.answered_at < sent_at && !run.stop_wanted;
    if (!was_stopped && run.orders_sent == 0) {
      // A former leader's placement; its orders are refused from this report on.
      never_started.push_back(task);
    } else if (was_stopped || was_there) {
      gone.push_back(task);
    }
  }
  const MinionId id = minion.id;
  for (const TaskName& task : never_started) {
    Lose(id, task, RunLoss::kNeverStarted, "the minion does not have it");
  }
  for (const TaskName& task : gone) {
    Lose(id, task, RunLoss::kMinionLost, "the minion does not have it any more");
  }
}

// --- losses ---

void RunSupervisor::Lose(const MinionId& minion, const TaskName& task, RunLoss loss,
                         const std::string& reason) {
  const TrackedRun run = m_state.FindMinion(minion)->runs.at(task);
  m_state.RemoveRun(minion, task);
  m_callbacks.on_lost(run, loss, reason);
}

bool RunSupervisor::IsLeaseOver(const TrackedMinion& minion) const {
  const double former = static_cast<double>(m_settings.longest_lease.count()) / kSlowestClockRate;
  const Milliseconds former_leases_over =
      m_state.elected_at + Milliseconds(static_cast<std::int64_t>(former)) + kLeaseMargin;
  if (Now() < former_leases_over) {
    return false;
  }
  return !minion.lease_until.has_value() ||
         LeastClock(minion).value() > minion.lease_until->value() + kLeaseMargin.count();
}

void RunSupervisor::ExpireLeases() {
  for (auto& [id, minion] : m_state.minions) {
    if (minion.runs.empty() || !IsLeaseOver(minion)) {
      continue;
    }
    std::vector<TaskName> lost;
    for (const auto& [task, run] : minion.runs) {
      if (run.state != RunState::kDecided) {
        lost.push_back(task);
      }
    }
    for (const TaskName& task : lost) {
      Lose(id, task, RunLoss::kMinionLost, "the minion's lease has run out");
    }
  }
}

}  // namespace papayalift
