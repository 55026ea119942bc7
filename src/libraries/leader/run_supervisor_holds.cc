#include <algorithm>
#include <utility>

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
/// Delay between hold calls that find out whether a run that is to be stopped ever began. It causes
/// no end that would cut a wait short.
constexpr Milliseconds kUnconfirmedStopDelay{100};

/// After as many acknowledgements that were not sent, its connections are taken not to outlast a
/// call. The next one may open its own, or the minion's ends would never be acknowledged.
constexpr int kMaxUnsentAcknowledgements = 3;

/// Whether a run is to be stopped of which no answer has shown that it began.
bool HasUnconfirmedStop(const TrackedMinion& minion) {
  return std::any_of(minion.runs.begin(), minion.runs.end(), [](const auto& entry) {
    return entry.second.stop_wanted && !entry.second.answered_at.has_value();
  });
}

/// Whether the minion has neither runs nor ends that can be acknowledged.
bool HasNothingToRenew(const TrackedMinion& minion) {
  return minion.runs.empty() && minion.acknowledgeable_end() <= minion.last_acknowledgement_sent;
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
  if (m_is_closed) {
    return;
  }
  if (minion.is_hold_in_flight) {
    if (minion.in_doubt_since.has_value() && !minion.is_look_in_flight) {
      SendLook(minion);
    }
    return;
  }
  m_timers.Cancel(minion.hold_timer);
  minion.hold_timer = 0;
  SendHold(minion);
}

void RunSupervisor::RequestFirstReports() {
  std::deque<MinionId> idle;
  for (const auto& [id, minion] : m_state.minions) {
    // NOTE: a minion with runs is asked even if it is not registered. It may only be cut off from
    // the store, and if another one answers at its address, its process has ended.
    if (!minion.runs.empty()) {
      m_awaited_reports.insert(id);
    }
    if (!minion.runs.empty() && !minion.address.empty()) {
      m_first_report_queue.push_back(id);
      m_awaited_outcomes.insert(id);
    } else if (minion.entry.has_value()) {
      idle.push_back(id);
    }
  }
  m_first_report_queue.insert(m_first_report_queue.end(), idle.begin(), idle.end());
  if (m_awaited_outcomes.empty()) {
    m_callbacks.on_all_asked();
  }
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
  // expire. A lease that was named before must not be named again: its process may be a new one,
  // for which a time on the former one's clock is far ahead.
  const std::optional<MinionTime> lease =
      minion.unanswered_calls == 0 ? m_leases.NextLeaseOfHold(minion, m_settings.usual_lease)
                                   : std::optional<MinionTime>();
  // NOTE: a new incarnation restarts its end numbers, so an acknowledgement meant for the previous
  // one would delete ends that were never reported. Such a call may also be carried out late.
  // Ends are therefore only acknowledged over a connection that leads to the process that has
  // reported last, and if no earlier call is unanswered.
  const bool has_new_ends = minion.acknowledgeable_end() > minion.last_acknowledgement_sent;
  const bool acknowledges =
      has_new_ends && minion.is_incarnation_confirmed && !minion.in_doubt_since.has_value();
  const bool is_bound = acknowledges && minion.unsent_acknowledgements < kMaxUnsentAcknowledgements;
  const bool waits = lease.has_value() && !minion.runs.empty() && minion.unsaved_ends.empty() &&
                     minion.unanswered_calls == 0 && !has_new_ends && !HasUnconfirmedStop(minion);
  const HoldOrder order{
      m_leases.NextToken(minion), lease, acknowledges ? minion.acknowledgeable_end() : EndNumber(0),
      waits ? m_settings.hold_wait : Milliseconds(0),
      is_bound ? std::optional<Milliseconds>(minion.process_seen_at) : std::nullopt};
  if (order.lease_until.has_value()) {
    minion.lease_until =
        std::max(minion.lease_until.value_or(*order.lease_until), *order.lease_until);
    m_leases.RecordHold(minion);
  }
  if (acknowledges) {
    minion.last_acknowledgement_sent = order.acknowledged;
    minion.unsent_acknowledgements = is_bound ? minion.unsent_acknowledgements : 0;
  }
  minion.is_hold_in_flight = true;
  ++minion.hold_number;
  m_minions.Hold(minion.destination(), order,
                 [weak = weak_from_this(), id = minion.id,
                  sent = SentHold{Now(), order.token, order.lease_until.has_value(), minion.reports,
                                  minion.hold_number, is_bound}](const HoldAnswer& answer) {
                   const Self self = weak.lock();
                   if (self != nullptr && !self->m_is_closed) {
                     self->OnHoldAnswer(id, sent, answer);
                   }
                 });
}

void RunSupervisor::OnHoldAnswer(const MinionId& id, const SentHold& sent,
                                 const HoldAnswer& answer) {
  TrackedMinion& minion = *m_state.FindMinion(id);
  if (sent.number != minion.hold_number) {
    return;
  }
  minion.is_hold_in_flight = false;
  if (m_first_reports_in_flight.erase(id) > 0) {
    RequestNextFirstReports();
  }
  if (answer.result == OrderResult::kFenced) {
    if (!StepDownIfSuperseded(minion, sent.token)) {
      RequestHold(minion);
    }
    return;
  }
  if (answer.result == OrderResult::kNotSent && sent.is_bound) {
    OnAcknowledgementNotSent(minion);
    return;
  }
  if (answer.result != OrderResult::kDone) {
    if (sent.names_lease) {
      m_leases.RecordHold(minion);
    }
    OnHoldFailed(minion, answer);
    RecordOutcome(id);
    return;
  }
  if (sent.is_bound) {
    minion.unsent_acknowledgements = 0;
  }
  OnReport(minion, sent, answer);
  if (m_is_closed) {
    return;
  }
  RecordOutcome(id);
  if (!minion.unsaved_ends.empty()) {
    // Acknowledge() requests the next hold earlier, once the ends are stored.
    RequestHoldLater(minion, kUnsavedEndsDelay);
  } else if (!m_state.MayGrantLease(id) || (NeedsHold(minion) && HasNothingToRenew(minion))) {
    // It is held again as soon as leases may be granted to it, or its registration is heard of.
    RequestHoldLater(minion, kRetryDelay);
  } else if (HasUnconfirmedStop(minion)) {
    RequestHoldLater(minion, kUnconfirmedStopDelay);
  } else if (NeedsHold(minion)) {
    RequestHold(minion);
  }
}

void RunSupervisor::OnReport(TrackedMinion& minion, const SentHold& sent,
                             const HoldAnswer& answer) {
  if (minion.unanswered_calls > 1) {
    LogEvent(LogLevel::kInfo, "runs", "minion answers again")
        .Field("minion", minion.id.text())
        .Field("silent_calls", minion.unanswered_calls)
        .Write();
  }
  RecordAnswer(minion);
  if (MinionLeases::IsOutdated(minion, sent.reports_before, answer.report)) {
    LogEvent(LogLevel::kInfo, "runs",
             "a report is left out, as a later one may have come before it")
        .Field("minion", minion.id.text())
        .Field("incarnation", answer.report.incarnation.value())
        .Field("known_incarnation", minion.incarnation.value())
        .Field("age_ms", (Now() - sent.at).count())
        .Write();
    return;
  }
  minion.is_incarnation_confirmed = true;
  minion.last_report_at = Now();
  ++minion.reports;
  // NOTE: a connection is only established with a process that runs.
  const Milliseconds asked_at = std::max(sent.at, answer.connection_opened_at.value_or(sent.at));
  const MinionId id = minion.id;
  ProcessReport(minion, asked_at, sent, answer.report);
  if (!m_is_closed && m_state.listed_as_silent.contains(id)) {
    m_callbacks.on_heard(id);
  }
}

void RunSupervisor::SendLook(TrackedMinion& minion) {
  minion.is_look_in_flight = true;
  const HoldOrder order{m_leases.NextToken(minion), std::nullopt, EndNumber(0), Milliseconds(0)};
  m_minions.Hold(minion.destination(), order,
                 [weak = weak_from_this(), id = minion.id,
                  sent = SentHold{Now(), order.token, false, minion.reports, 0, false}](
                     const HoldAnswer& answer) {
                   const Self self = weak.lock();
                   if (self != nullptr && !self->m_is_closed) {
                     self->OnLookAnswer(id, sent, answer);
                   }
                 });
}

void RunSupervisor::OnLookAnswer(const MinionId& id, const SentHold& sent,
                                 const HoldAnswer& answer) {
  TrackedMinion& minion = *m_state.FindMinion(id);
  minion.is_look_in_flight = false;
  if (answer.result == OrderResult::kFenced) {
    StepDownIfSuperseded(minion, sent.token);
    return;
  }
  if (answer.result != OrderResult::kDone) {
    RecordFailedCall(minion, "hold", answer.result, answer.detail);
    minion.silence->has_failed_hold = true;
    return;
  }
  const MinionIncarnation waited_for = minion.incarnation;
  OnReport(minion, sent, answer);
  if (m_is_closed) {
    return;
  }
  if (minion.incarnation != waited_for && minion.is_hold_in_flight) {
    // NOTE: the call that waits was meant for the former process. The next one bars late orders.
    ++minion.hold_number;
    minion.is_hold_in_flight = false;
    RequestHold(minion);
  } else if (minion.in_doubt_since.has_value()) {
    RequestHold(minion);
  }
}

void RunSupervisor::RecordOutcome(const MinionId& id) {
  if (m_awaited_outcomes.erase(id) > 0 && m_awaited_outcomes.empty()) {
    m_callbacks.on_all_asked();
  }
}

void RunSupervisor::OnAcknowledgementNotSent(TrackedMinion& minion) {
  ++minion.unsent_acknowledgements;
  minion.last_acknowledgement_sent = EndNumber(0);
  // The next report comes over a connection that leads to its process.
  minion.is_incarnation_confirmed = false;
  RequestHold(minion);
}

void RunSupervisor::OnHoldFailed(TrackedMinion& minion, const HoldAnswer& answer) {
  // The call may have carried an acknowledgement, which must be sent again.
  minion.last_acknowledgement_sent = EndNumber(0);
  RecordFailedCall(minion, "hold", answer.result, answer.detail);
  minion.silence->has_failed_hold = true;
  if (minion.unanswered_calls == 2) {
    LogSilence(minion, answer.detail);
  }
  if (NeedsHold(minion)) {
    const int doublings =
        minion.runs.empty() ? std::clamp(minion.unanswered_calls - 1, 0, kMaxRetryDoublings) : 0;
    RequestHoldLater(minion, kRetryDelay * (1 << doublings));
  }
}

}  // namespace papayalift
