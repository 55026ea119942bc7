#include "libraries/leader/run_supervisor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/leader/lease_time.h"
#include "libraries/leader/process_fate.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRetryDelay{300};
constexpr Milliseconds kStopRetryDelay{400};
/// A start without an answer is repeated for this long. Some minions reset connections at once and
/// answer the next call, others stay silent until each call's timeout.
constexpr Milliseconds kMaxStartTime{2'000};
constexpr Milliseconds kStartRetryDelay{60};
/// A start is only sent if the term was confirmed within this time: a process that was paused must
/// not act on a term that another node holds by now.
constexpr Milliseconds kMaxTermAgeOfStart{1'200};

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
      m_callbacks(std::move(callbacks)),
      m_leases(timers, state, MinionLeases::Settings{settings.longest_lease}, m_term_confirmed_at,
               m_callbacks.former_leases_end) {}

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

// --- starts ---

void RunSupervisor::Start(TrackedRun& run, const std::string& payload,
                          const std::string& checkpoint) {
  run.state = TrackedRunState::kOrdered;
  run.ordered_at = Now();
  SendStart(run.task, run.minion, run.attempt, payload, checkpoint);
}

void RunSupervisor::SendStart(const TaskName& task, const MinionId& minion_id,
                              AttemptNumber attempt, const std::string& payload,
                              const std::string& checkpoint) {
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  TrackedRun& run = *FindRun(task, minion_id, attempt);
  // A repeated order keeps the lease of the first, or a minion that is gone would keep its room for
  // longer with each repetition. A minion that the lease record lists gets none.
  const bool is_repeated =
      run.orders_sent > 0 && minion.lease_until.has_value() && m_state.MayGrantLease(minion_id);
  const std::optional<MinionTime> lease =
      is_repeated ? minion.lease_until : m_leases.NextLeaseOfStart(minion, m_settings.start_lease);
  if (!lease.has_value()) {
    HoldBackStart(run, "the minion must not be granted a lease yet");
    return;
  }
  if (const std::optional<std::string> obstacle = ObstacleToStart(run)) {
    HoldBackStart(run, *obstacle);
    return;
  }
  minion.lease_until = std::max(minion.lease_until.value_or(*lease), *lease);
  if (run.orders_sent == 0) {
    minion.last_start_sent_at = Now();
    minion.last_started_task = task;
  }
  ++run.orders_sent;
  m_leases.RecordStartSent(minion, run);
  const StartOrder order{task, attempt, payload, *lease, m_leases.NextToken(minion), checkpoint};
  m_minions.Start(minion.destination(), order,
                  [weak = weak_from_this(), order, minion_id,
                   incarnation = minion.incarnation](const OrderAnswer& answer) {
                    const Self self = weak.lock();
                    if (self != nullptr && !self->m_is_closed) {
                      self->m_leases.RecordStartAnswer(
                          *self->m_state.FindMinion(minion_id),
                          self->FindRun(order.task, minion_id, order.attempt), order, incarnation,
                          answer);
                      self->OnStartAnswer(order, minion_id, answer);
                    }
                  });
}

std::optional<std::string> RunSupervisor::ObstacleToStart(const TrackedRun& run) const {
  if (Now() - m_term_confirmed_at() > kMaxTermAgeOfStart) {
    return "the term was not confirmed lately";
  }
  return m_callbacks.obstacle_to_start(run);
}

void RunSupervisor::HoldBackStart(TrackedRun& run, const std::string& reason) {
  LogEvent(LogLevel::kWarning, "runs", "a start is not sent")
      .Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Field("term_age_ms", (Now() - m_term_confirmed_at()).count())
      .Reason(reason)
      .Write();
  if (run.orders_sent == 0) {
    LoseRun(MinionId(run.minion), TaskName(run.task), RunLoss::kNeverStarted, reason);
  } else {
    Stop(run, "its start was not answered");
  }
}

void RunSupervisor::OnStartAnswer(const StartOrder& order, const MinionId& minion_id,
                                  const OrderAnswer& answer) {
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  if (answer.result == OrderResult::kFenced && StepDownIfSuperseded(minion, order.token)) {
    return;
  }
  TrackedRun* const run = FindRun(order.task, minion_id, order.attempt);
  if (run == nullptr) {
    return;
  }
  if (answer.result == OrderResult::kDone) {
    LogStartAnswer(minion, *run, answer);
    RecordAnswer(minion);
    run->answered_at = Now();
    if (run->state == TrackedRunState::kOrdered) {
      run->state = TrackedRunState::kRunning;
      run->running_since = Now();
      m_callbacks.on_started(*run);
    }
    RequestHold(minion);
    return;
  }
  const bool may_have_started = run->orders_sent > 1 || answer.result == OrderResult::kUnclear;
  const bool is_not_sent =
      answer.result == OrderResult::kNotSent || answer.result == OrderResult::kNoListener;
  if (answer.result == OrderResult::kUnclear ||
      (may_have_started && run->state == TrackedRunState::kOrdered && is_not_sent)) {
    RecordFailedCall(minion, "start", answer.result, answer.detail);
    if (run->state == TrackedRunState::kRunning) {
      // A report has listed the run in the meantime, which replaces the answer.
      return;
    }
    if (run->state == TrackedRunState::kOrdered && Now() - run->ordered_at < kMaxStartTime) {
      RepeatStartLater(order, minion_id);
    } else {
      Stop(*run, "its start was not answered");
    }
    return;
  }
  if (may_have_started) {
    Stop(*run, "a repeated start was refused");
    return;
  }
  minion.health.avoid_until = std::max(minion.health.avoid_until, Now() + kRetryDelay);
  if (is_not_sent || answer.result == OrderResult::kOtherMinion) {
    RecordFailedCall(minion, "start", answer.result, answer.detail);
  }
  RequestHold(minion);
  LoseRun(minion_id, order.task, RunLoss::kNeverStarted, answer.detail);
}

bool RunSupervisor::StepDownIfSuperseded(const TrackedMinion& minion, FencingToken token) const {
  if (m_leases.IsBarredByOwnToken(minion, token)) {
    return false;
  }
  m_callbacks.on_fenced();
  return true;
}

void RunSupervisor::RepeatStartLater(const StartOrder& order, const MinionId& minion_id) {
  m_timers.After(kStartRetryDelay, [weak = weak_from_this(), order, minion_id] {
    const Self self = weak.lock();
    if (self == nullptr || self->m_is_closed) {
      return;
    }
    TrackedRun* const run = self->FindRun(order.task, minion_id, order.attempt);
    // A report may have listed the run, or it may have been stopped, in the meantime.
    if (run == nullptr || run->state != TrackedRunState::kOrdered) {
      return;
    }
    const std::optional<MinionSilence>& silence = self->m_state.FindMinion(minion_id)->silence;
    if (silence.has_value() && silence->has_failed_hold) {
      // NOTE: the minion is not listed as silent while a start to it is under way.
      self->Stop(*run, "its minion does not answer");
      return;
    }
    self->SendStart(order.task, minion_id, order.attempt, order.payload, order.checkpoint);
  });
}

// --- stops ---

void RunSupervisor::Stop(TrackedRun& run, const std::string& reason) {
  if (run.stop_wanted) {
    return;
  }
  run.stop_wanted = true;
  run.stop_reason = reason;
  if (run.state == TrackedRunState::kDecided) {
    // No order was sent. The run is discarded when its journal write is answered.
    return;
  }
  run.state = TrackedRunState::kStopping;
  LogEvent(LogLevel::kInfo, "runs", "stopping a run")
      .Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", run.minion.text())
      .Reason(reason)
      .Write();
  SendStop(run.task, run.minion, run.attempt);
}

void RunSupervisor::SendStop(const TaskName& task, const MinionId& minion_id,
                             AttemptNumber attempt) {
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  const StopOrder order{task, attempt, m_leases.NextToken(minion)};
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
  TrackedMinion& minion = *m_state.FindMinion(minion_id);
  if (answer.result == OrderResult::kFenced && StepDownIfSuperseded(minion, order.token)) {
    return;
  }
  TrackedRun* const run = FindRun(order.task, minion_id, order.attempt);
  if (run == nullptr) {
    return;
  }
  if (answer.result != OrderResult::kDone) {
    if (answer.result != OrderResult::kFenced) {
      RecordFailedCall(minion, "stop", answer.result, answer.detail);
    }
    SendStopLater(order.task, minion_id, order.attempt);
    return;
  }
  RecordAnswer(minion);
  run->stop_answered_at = Now();
  RequestHold(minion);
}

void RunSupervisor::SendStopLater(const TaskName& task, const MinionId& minion,
                                  AttemptNumber attempt) {
  m_timers.After(kStopRetryDelay, [weak = weak_from_this(), task, minion, attempt] {
    const Self self = weak.lock();
    if (self != nullptr && !self->m_is_closed && self->FindRun(task, minion, attempt) != nullptr) {
      self->SendStop(task, minion, attempt);
    }
  });
}

// --- losses ---

void RunSupervisor::LoseRun(const MinionId& minion, const TaskName& task, RunLoss loss,
                            const std::string& reason) {
  const TrackedRun run = m_state.FindMinion(minion)->runs.at(task);
  m_state.RemoveRun(minion, task);
  m_callbacks.on_lost(run, loss, reason);
}

std::optional<Milliseconds> RunSupervisor::LeasesLeft(const MinionId& id) const {
  const TrackedMinion* const minion = m_state.FindMinion(id);
  if (minion == nullptr || minion->runs.empty() || minion->answers() ||
      !MinionLeases::IsBounded(*minion)) {
    return std::nullopt;
  }
  return std::max(Milliseconds(0), m_leases.LatestExpiryOf(*minion).at - Now());
}

const char* RunSupervisor::ReasonToGiveUp(const TrackedMinion& minion,
                                          const TrackedRun& run) const {
  if (run.state == TrackedRunState::kDecided) {
    return nullptr;
  }
  // A minion that answers says itself what has become of its runs.
  if (!minion.answers() && m_leases.HaveExpired(minion, run)) {
    return "the minion's lease has expired";
  }
  return IsReplaced(m_state, MinionProcess{minion.id, run.incarnation, minion.address})
             ? "another minion is at its minion's address"
             : nullptr;
}

void RunSupervisor::GiveUpLostRuns() {
  for (auto& [id, minion] : m_state.minions) {
    GiveUpLostRunsOf(minion);
  }
}

void RunSupervisor::GiveUpLostRunsOf(TrackedMinion& minion) {
  std::vector<std::pair<TaskName, const char*>> lost;
  for (const auto& [task, run] : minion.runs) {
    if (const char* const reason = ReasonToGiveUp(minion, run); reason != nullptr) {
      lost.emplace_back(task, reason);
    }
  }
  for (const auto& [task, reason] : lost) {
    LoseRun(minion.id, task, RunLoss::kRunLost, reason);
  }
}

void RunSupervisor::GiveUpOnceHeard(TrackedMinion& minion) {
  const bool is_unheard =
      std::any_of(minion.runs.begin(), minion.runs.end(), [this, &minion](const auto& entry) {
        const Milliseconds expiry = m_leases.ExpiryOf(minion, entry.second).at;
        return Now() > expiry && m_timers.HeardUntil() <= expiry;
      });
  if (is_unheard && !minion.answers()) {
    GiveUpOnceExpired(minion);
  }
}

void RunSupervisor::GiveUpOnceExpired(TrackedMinion& minion) {
  if (minion.runs.empty()) {
    return;
  }
  m_timers.Cancel(minion.give_up_timer);
  // Runs whose leases expire later are given up with the next tick after that.
  Milliseconds first_expiry = m_leases.LatestExpiryOf(minion).at;
  for (const auto& [task, run] : minion.runs) {
    first_expiry = std::min(first_expiry, m_leases.ExpiryOf(minion, run).at);
  }
  const Milliseconds left = first_expiry - Now();
  constexpr Milliseconds kPastExpiry{1};
  minion.give_up_timer = m_timers.After(std::max(Milliseconds(0), left) + kPastExpiry,
                                        [weak = weak_from_this(), id = minion.id] {
                                          const Self self = weak.lock();
                                          if (self == nullptr || self->m_is_closed) {
                                            return;
                                          }
                                          TrackedMinion& found = *self->m_state.FindMinion(id);
                                          found.give_up_timer = 0;
                                          self->GiveUpLostRunsOf(found);
                                          self->GiveUpOnceHeard(found);
                                        });
}

}  // namespace papayalift
