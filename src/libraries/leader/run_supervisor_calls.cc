#include <utility>

#include "libraries/leader/run_supervisor.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// How a call ended that a minion did not answer as asked.
std::string OrderResultText(OrderResult result) {
  switch (result) {
    case OrderResult::kNotSent:
      return "not sent";
    case OrderResult::kNoListener:
      return "no listener";
    case OrderResult::kOtherMinion:
      return "another minion";
    case OrderResult::kUnclear:
      return "unclear";
    default:
      return "refused";
  }
}

const char* LeaseOriginText(LeaseOrigin origin) {
  switch (origin) {
    case LeaseOrigin::kFormerLeader:
      return "a lease of a former leader";
    case LeaseOrigin::kThisLeader:
      return "a lease of this leader";
    case LeaseOrigin::kLateOrder:
      return "a lease of a late order";
    case LeaseOrigin::kUnknownProcess:
      return "a lease that a process not heard of may hold";
  }
  return "";
}

}  // namespace

void RunSupervisor::RecordFailedCall(TrackedMinion& minion, const char* call, OrderResult result,
                                     const std::string& detail) {
  if (minion.unanswered_calls == 0 && minion.has_reported) {
    LogFirstFailedCall(minion, call, result, detail);
  }
  ++minion.unanswered_calls;
  minion.is_incarnation_confirmed = false;
  if (!minion.silence.has_value()) {
    minion.silence = MinionSilence{Now()};
  }
  MinionSilence& silence = *minion.silence;
  silence.was_refused = silence.was_refused || result == OrderResult::kNoListener;
  silence.was_replaced = silence.was_replaced || result == OrderResult::kOtherMinion;
  if (!minion.runs.empty()) {
    m_callbacks.on_silent(minion.id);
    GiveUpOnceExpired(minion);
  }
}

void RunSupervisor::RecordAnswer(TrackedMinion& minion) {
  minion.unanswered_calls = 0;
  if (minion.silence.has_value()) {
    minion.previous_silence = std::exchange(minion.silence, std::nullopt);
  }
}

void RunSupervisor::LogFirstFailedCall(const TrackedMinion& minion, const char* call,
                                       OrderResult result, const std::string& detail) const {
  LogEvent event(LogLevel::kInfo, "runs", "first failed call to a minion");
  event.Zone(minion.zone)
      .Field("minion", minion.id.text())
      .Field("call", call)
      .Field("result", OrderResultText(result))
      .Reason(detail)
      .Field("runs", static_cast<std::int64_t>(minion.runs.size()))
      .Field("listed", minion.entry.has_value() ? 1 : 0)
      .Field("draining", m_state.IsLeaving(minion) ? 1 : 0)
      .Field("late_ms", m_timers.Lateness().count())
      .Field("unheard_ms", (Now() - m_timers.HeardUntil()).count())
      .Field("since_report_ms", (Now() - minion.last_report_at).count());
  if (minion.last_start_sent_at.has_value()) {
    event.Field("since_start_ms", (Now() - *minion.last_start_sent_at).count())
        .Field("last_start", FormatTaskName(minion.last_started_task));
  }
  event.Write();
}

void RunSupervisor::LogStartAnswer(const TrackedMinion& minion, const TrackedRun& run,
                                   const OrderAnswer& answer) const {
  constexpr std::int64_t kUnknown = -1;
  LogEvent(LogLevel::kInfo, "runs", "a start was answered")
      .Job(run.task.job)
      .Field("task", FormatTaskName(run.task))
      .Field("attempt", run.attempt.value())
      .Field("minion", minion.id.text())
      .Field("incarnation", minion.incarnation.value())
      .Field("process_shown", run.is_process_shown ? 1 : 0)
      .Field("connection_ms", answer.connection_opened_at.has_value()
                                  ? (Now() - *answer.connection_opened_at).count()
                                  : kUnknown)
      .Field("clock_ms", answer.clock.has_value() ? answer.clock->value() : kUnknown)
      .Field("least_clock_ms", m_leases.MinClock(minion).value())
      .Field("process_seen_ms", (Now() - minion.process_seen_at).count())
      .Write();
}

void RunSupervisor::LogSilence(const TrackedMinion& minion, const std::string& detail) const {
  const LeaseExpiry expiry = m_leases.LatestExpiryOf(minion);
  LogEvent(LogLevel::kWarning, "runs", "minion does not answer")
      .Field("minion", minion.id.text())
      .Field("runs", static_cast<std::int64_t>(minion.runs.size()))
      .Field("listed", minion.entry.has_value() ? 1 : 0)
      .Field("reported", minion.has_reported ? 1 : 0)
      .Field("silent_ms", (Now() - minion.silence->since).count())
      .Field("term_ms", (Now() - m_state.elected_at).count())
      .Field("kept_ms", (expiry.at - Now()).count())
      .Field("kept_for", LeaseOriginText(expiry.origin))
      .Reason(detail)
      .Write();
}

}  // namespace papayalift
