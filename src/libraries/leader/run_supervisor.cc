#include "libraries/leader/run_supervisor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// A minion's clock may be this much slower than ours; a little is added for rounding.
constexpr double kSlowestClockRate = 0.975;
constexpr Milliseconds kLeaseMargin{150};
constexpr Milliseconds kRetryPause{300};
constexpr Milliseconds kStopRetryPause{400};
constexpr int kMostStartOrders = 3;

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
  run.state = TrackedRunState::kOrdered;
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
    if (run->state == TrackedRunState::kOrdered) {
      run->state = TrackedRunState::kRunning;
      run->running_since = Now();
      m_callbacks.on_started(*run);
    }
    Hold(minion);
    return;
  }
  const bool may_be_there = run->orders_sent > 1 || answer.result == OrderResult::kUnclear;
  if (answer.result == OrderResult::kUnclear ||
      (may_be_there && run->state == TrackedRunState::kOrdered &&
       answer.result == OrderResult::kNotSent)) {
    NoteSilence(minion);
    if (run->state == TrackedRunState::kRunning) {
      // A report has shown it meanwhile, which is as good as the answer.
      return;
    }
    if (run->state == TrackedRunState::kOrdered && run->orders_sent < kMostStartOrders) {
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
  if (run.state == TrackedRunState::kDecided) {
    // Nothing was sent; the journal's answer settles it.
    return;
  }
  run.state = TrackedRunState::kStopping;
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
      if (run.state != TrackedRunState::kDecided) {
        lost.push_back(task);
      }
    }
    for (const TaskName& task : lost) {
      Lose(id, task, RunLoss::kMinionLost, "the minion's lease has run out");
    }
  }
}

}  // namespace papayalift
