#include "libraries/job_requests/withdrawal_lease.h"

#include <utility>

#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// How long new withdrawals are stored under the same lease.
constexpr Milliseconds kLeaseUse{10'000};

}  // namespace

void WithdrawalLease::Acquire(std::function<void(std::optional<StoreLease>)> callback) {
  if (m_lease.has_value() && m_timers.clock().Now() - m_lease->at < kLeaseUse) {
    callback(m_lease->lease);
    return;
  }
  m_waiting.push_back(std::move(callback));
  if (m_waiting.size() > 1) {
    return;
  }
  m_store.GrantLease(kWithdrawalLifetime + kLeaseUse,
                     [this, sent_at = m_timers.clock().Now()](const LeaseAnswer& answer) {
                       OnGranted(sent_at, answer);
                     });
}

void WithdrawalLease::OnGranted(Milliseconds sent_at, const LeaseAnswer& answer) {
  const bool is_granted =
      answer.result == LeaseResult::kOk && answer.time_to_live >= kWithdrawalLifetime + kLeaseUse;
  if (is_granted) {
    m_lease = Granted{answer.lease, sent_at};
  } else {
    m_lease.reset();
    LogEvent(LogLevel::kWarning, "job_requests", "no lease for withdrawals was granted")
        .Field("waiting", static_cast<std::int64_t>(m_waiting.size()))
        .Field("time_to_live_ms", answer.time_to_live.count())
        .Reason(answer.error)
        .Write();
  }
  const std::deque<std::function<void(std::optional<StoreLease>)>> waiting =
      std::exchange(m_waiting, {});
  for (const std::function<void(std::optional<StoreLease>)>& callback : waiting) {
    callback(is_granted ? std::optional<StoreLease>(answer.lease) : std::nullopt);
  }
}

void WithdrawalLease::RecordHeld() {
  m_held_until.push_back(m_timers.clock().Now() + kWithdrawalLifetime + kLeaseUse);
  ExportHeld();
  m_timers.After(kWithdrawalLifetime + kLeaseUse, [this] { ExportHeld(); });
}

void WithdrawalLease::ExportHeld() {
  const Milliseconds now = m_timers.clock().Now();
  while (!m_held_until.empty() && m_held_until.front() <= now) {
    m_held_until.pop_front();
    m_metrics.Increment("papayalift_withdrawals_removed_total");
  }
  m_metrics.SetGauge("papayalift_withdrawals_held", static_cast<double>(m_held_until.size()));
}

}  // namespace papayalift
