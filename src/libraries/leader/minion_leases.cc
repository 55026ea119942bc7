#include "libraries/leader/minion_leases.h"

#include <algorithm>
#include <utility>

#include "libraries/leader/lease_time.h"

namespace papayalift {

namespace {

/// If the last confirmation of the term is older, the store counts as away.
constexpr Milliseconds kMaxConfirmationAge{1'000};

/// A process that has received an order without answering it carries it out within this time.
constexpr Milliseconds kMaxOrderDelay{12'000};

/// Whether no process can have received the order.
bool IsNotReceived(OrderResult result) {
  return result == OrderResult::kNotSent || result == OrderResult::kNoListener ||
         result == OrderResult::kOtherMinion;
}

}  // namespace

MinionLeases::MinionLeases(Timers& timers, LeaderState& state, Settings settings,
                           std::function<Milliseconds()> term_confirmed_at,
                           std::function<Milliseconds(const MinionId&)> former_leases_end)
    : m_timers(timers),
      m_state(state),
      m_settings(settings),
      m_term_confirmed_at(std::move(term_confirmed_at)),
      m_former_leases_end(std::move(former_leases_end)) {}

MinionTime MinionLeases::MinClock(const TrackedMinion& minion) const {
  const double elapsed = static_cast<double>((Now() - minion.clock_read_at).count());
  return MinionTime(minion.clock.value() + static_cast<std::int64_t>(elapsed * kMinClockRate));
}

bool MinionLeases::IsProcessKnown(const TrackedMinion& minion) const {
  const bool is_later_registered =
      minion.entry.has_value() && minion.entry->incarnation > minion.incarnation;
  return !minion.in_doubt_since.has_value() && !is_later_registered;
}

std::optional<MinionTime> MinionLeases::NextLeaseOfHold(const TrackedMinion& minion,
                                                        Milliseconds usual_lease) const {
  return IsProcessKnown(minion) ? NextLeaseOfStart(minion, usual_lease) : std::nullopt;
}

std::optional<MinionTime> MinionLeases::NextLeaseOfStart(const TrackedMinion& minion,
                                                         Milliseconds usual_lease) const {
  if (!minion.has_reported || !m_state.MayGrantLease(minion.id)) {
    return std::nullopt;
  }
  // A later leader waits for `longest_lease` from the start of its own term, which is not before
  // the last confirmation of this one.
  const Milliseconds allowed = m_term_confirmed_at() + m_settings.longest_lease - Now();
  const bool is_confirmed = Now() - m_term_confirmed_at() < kMaxConfirmationAge;
  // The clock may be ahead of what it shows at least, the more the longer ago it was read.
  const double elapsed = static_cast<double>((Now() - minion.clock_read_at).count());
  const Milliseconds uncertainty(static_cast<std::int64_t>(elapsed * (1 - kMinClockRate)));
  const Milliseconds left = is_confirmed ? std::min(usual_lease + uncertainty, allowed) : allowed;
  return MinionTime(MinClock(minion).value() + std::max(Milliseconds(0), left).count());
}

FencingToken MinionLeases::NextToken(TrackedMinion& minion) const {
  FencingToken token = std::max(minion.token, m_state.term.token);
  // NOTE: the term was this leader's at that revision, so the next one's token is higher.
  const FencingToken above(m_state.confirmed_revision.value());
  if (minion.needs_higher_token && above > token) {
    token = above;
    minion.needs_higher_token = false;
    minion.is_barring_late_orders = true;
  }
  minion.token = token;
  return token;
}

bool MinionLeases::IsBarredByOwnToken(const TrackedMinion& minion, FencingToken token) const {
  return token < minion.token;
}

void MinionLeases::RecordStartSent(TrackedMinion& minion, TrackedRun& run) const {
  ExtendUnknownProcesses(minion, Now() + kMaxOrderDelay);
  ++run.starts_in_flight;
  run.is_process_shown = false;
}

void MinionLeases::RecordHold(TrackedMinion& minion) const {
  ExtendUnknownProcesses(minion, Now() + kMaxOrderDelay);
}

bool MinionLeases::IsOnlyCopyShown(const TrackedRun& run) {
  return run.is_process_shown && run.orders_sent == 1;
}

bool MinionLeases::HasMetKnownProcess(const TrackedMinion& minion, const OrderAnswer& answer) {
  return minion.has_reported && answer.connection_opened_at.has_value() &&
         *answer.connection_opened_at <= minion.process_seen_at;
}

void MinionLeases::RecordStartAnswer(TrackedMinion& minion, TrackedRun* run,
                                     const StartOrder& order, MinionIncarnation meant_for,
                                     const OrderAnswer& answer) const {
  if (run != nullptr) {
    --run->starts_in_flight;
    run->start_outcome_at = Now();
  }
  if (IsNotReceived(answer.result)) {
    return;
  }
  if (minion.incarnation != meant_for) {
    // NOTE: clocks of minions are never fast, so this one shows no more than this by now.
    const Milliseconds elapsed = Now() - minion.clock_read_at;
    AssumeForeignLease(minion, MinionTime(minion.clock.value() + elapsed.count()));
  }
  const bool met_known_process = HasMetKnownProcess(minion, answer);
  if (met_known_process && answer.clock.has_value()) {
    RecordClock(minion, order, answer);
  }
  const bool is_answered = answer.result != OrderResult::kUnclear;
  const Milliseconds carried_out_by = is_answered ? Now() : Now() + kMaxOrderDelay;
  if (is_answered && !met_known_process) {
    minion.in_doubt_since = Now();
  }
  if (!met_known_process) {
    ExtendUnknownProcesses(minion, carried_out_by);
  }
  if (run == nullptr || IsOnlyCopyShown(*run)) {
    return;
  }
  if (met_known_process) {
    run->is_process_shown = run->is_process_shown || answer.result == OrderResult::kDone;
  } else if (!is_answered || answer.result == OrderResult::kDone) {
    run->is_process_shown = false;
    AssumeUnknownProcess(*run, carried_out_by);
  }
}

void MinionLeases::RecordClock(TrackedMinion& minion, const StartOrder& order,
                               const OrderAnswer& answer) const {
  if (answer.result == OrderResult::kDone && minion.is_barring_late_orders &&
      order.token == minion.token) {
    minion.is_barring_late_orders = false;
    AssumeForeignLease(minion, *answer.clock);
  }
  if (answer.result == OrderResult::kLeaseExpired && *answer.clock > MinClock(minion)) {
    // The next start is to be based on what the minion has just said.
    minion.clock = *answer.clock;
    minion.clock_read_at = Now();
  }
}

bool MinionLeases::IsOutdated(const TrackedMinion& minion, int reports_before,
                              const HoldReport& report) {
  return minion.reports > reports_before &&
         (report.incarnation != minion.incarnation || report.clock < minion.clock);
}

void MinionLeases::RecordReport(TrackedMinion& minion, Milliseconds asked_at, FencingToken token,
                                const HoldReport& report, bool is_new_process) const {
  minion.clock = report.clock;
  minion.clock_read_at = Now();
  minion.process_seen_at = is_new_process ? asked_at : std::max(minion.process_seen_at, asked_at);
  if (minion.in_doubt_since.has_value() && asked_at >= *minion.in_doubt_since) {
    minion.in_doubt_since.reset();
  }
  for (auto& [task, run] : minion.runs) {
    if (run.orders_sent > 0 && run.starts_in_flight == 0 && run.start_outcome_at <= asked_at) {
      run.is_process_shown = true;
      run.unknown_process_until.reset();
    }
  }
  const bool has_barred_late_orders = minion.is_barring_late_orders && token == minion.token;
  if (has_barred_late_orders) {
    minion.is_barring_late_orders = false;
  }
  if (is_new_process || has_barred_late_orders) {
    AssumeForeignLease(minion, report.clock);
  }
}

void MinionLeases::AssumeForeignLease(TrackedMinion& minion, MinionTime clock) const {
  const MinionTime longest(clock.value() + m_settings.longest_lease.count());
  minion.foreign_lease_until = std::max(minion.foreign_lease_until.value_or(longest), longest);
}

void MinionLeases::AssumeUnknownProcess(TrackedRun& run, Milliseconds carried_out_by) const {
  const Milliseconds until = carried_out_by + LongestRealTime(m_settings.longest_lease);
  run.unknown_process_until = std::max(run.unknown_process_until.value_or(until), until);
}

void MinionLeases::ExtendUnknownProcesses(TrackedMinion& minion,
                                          Milliseconds carried_out_by) const {
  for (auto& [task, run] : minion.runs) {
    if (!run.is_process_shown && run.unknown_process_until.has_value()) {
      AssumeUnknownProcess(run, carried_out_by);
    }
  }
}

LeaseExpiry MinionLeases::ExpiryOf(const TrackedMinion& minion, const TrackedRun& run) const {
  LeaseExpiry expiry{m_former_leases_end(minion.id), LeaseOrigin::kFormerLeader};
  const auto extend = [&expiry](Milliseconds at, LeaseOrigin origin) {
    if (at > expiry.at) {
      expiry = LeaseExpiry{at, origin};
    }
  };
  const auto real_time_of = [&minion](MinionTime lease) {
    const Milliseconds left(lease.value() - minion.clock.value());
    return minion.clock_read_at + LongestRealTime(left);
  };
  if (minion.lease_until.has_value()) {
    extend(real_time_of(*minion.lease_until), LeaseOrigin::kThisLeader);
  }
  if (minion.foreign_lease_until.has_value()) {
    extend(real_time_of(*minion.foreign_lease_until), LeaseOrigin::kLateOrder);
  }
  if (!run.is_process_shown && run.unknown_process_until.has_value()) {
    extend(*run.unknown_process_until, LeaseOrigin::kUnknownProcess);
  }
  if (minion.needs_higher_token || minion.is_barring_late_orders) {
    // An order meant for the former process names a time on its clock, so that the lease that the
    // new one grants has no other bound than the longest.
    extend(minion.new_process_at + kMaxOrderDelay + LongestRealTime(m_settings.longest_lease),
           LeaseOrigin::kLateOrder);
  }
  return expiry;
}

bool MinionLeases::HasOpenStart(const TrackedRun& run) {
  return run.starts_in_flight > 0 && !IsOnlyCopyShown(run);
}

bool MinionLeases::HaveExpired(const TrackedMinion& minion, const TrackedRun& run) const {
  // What arrived since the expiry may still tell of the run's end.
  return !HasOpenStart(run) && m_timers.HeardUntil() > ExpiryOf(minion, run).at;
}

bool MinionLeases::IsBounded(const TrackedMinion& minion) {
  return std::none_of(minion.runs.begin(), minion.runs.end(),
                      [](const auto& entry) { return HasOpenStart(entry.second); });
}

LeaseExpiry MinionLeases::LatestExpiryOf(const TrackedMinion& minion) const {
  LeaseExpiry latest{m_former_leases_end(minion.id), LeaseOrigin::kFormerLeader};
  for (const auto& [task, run] : minion.runs) {
    if (const LeaseExpiry expiry = ExpiryOf(minion, run); expiry.at > latest.at) {
      latest = expiry;
    }
  }
  return latest;
}

}  // namespace papayalift
