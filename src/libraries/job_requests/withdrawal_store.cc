#include "libraries/job_requests/withdrawal_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

#include "libraries/base/hash.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// Withdrawals that expire within this time are dropped by one write.
constexpr Milliseconds kMinPruneInterval{10'000};
/// Nobody waits for a record to be written without what has expired.
constexpr Milliseconds kPruneTimeout{5'000};

}  // namespace

WithdrawalStore::WithdrawalStore(Timers& timers, StorePort& store, Metrics& metrics)
    : m_timers(timers), m_store(store), m_metrics(metrics) {
  std::random_device random;
  constexpr unsigned int kHalfBits = 32;
  m_next_stamp = std::uint64_t{random()} << kHalfBits | random();
}

std::string WithdrawalStore::RecordKey(const JobId& job) {
  return fmt::format("{}{:02x}", kWithdrawalsPrefix, Hash64(job.text()) % kRecords);
}

WithdrawalStore::KnownRecord WithdrawalStore::RecordOf(const std::string& key) const {
  const auto found = m_records.find(key);
  if (found == m_records.end()) {
    return KnownRecord{};
  }
  KnownRecord known = found->second;
  known.record.Advance(m_timers.clock().Now() - known.read_at);
  known.read_at = m_timers.clock().Now();
  return known;
}

void WithdrawalStore::ExpectNoWithdrawal(const JobId& job, Transaction& transaction) const {
  const std::string key = RecordKey(job);
  const auto found = m_records.find(key);
  transaction.Expect(key, found == m_records.end() ? Revision(0) : found->second.revision);
}

bool WithdrawalStore::IsWithdrawn(const JobId& job, const WorkspaceId& workspace) const {
  return RecordOf(RecordKey(job)).record.Contains(job, workspace);
}

void WithdrawalStore::Adopt(const JobId& job, const std::vector<StoreItem>& items) {
  const std::string key = RecordKey(job);
  for (const StoreItem& item : items) {
    if (item.key == key && item.revision.value() != 0) {
      Adopt(key, item.revision, item.value);
    }
  }
}

void WithdrawalStore::Adopt(const std::string& key, Revision revision, const std::string& text) {
  KnownRecord& known = m_records[key];
  if (revision <= known.revision) {
    return;
  }
  known.revision = revision;
  absl::StatusOr<WithdrawalRecord> record = WithdrawalRecord::Decode(text);
  if (!record.ok()) {
    LogEvent(LogLevel::kError, "job_requests", "a record of withdrawals can't be decoded")
        .Field("key", key)
        .Reason(std::string(record.status().message()))
        .Write();
  }
  known.record = record.ok() ? *std::move(record) : WithdrawalRecord();
  known.read_at = m_timers.clock().Now();
}

void WithdrawalStore::Withdraw(const JobId& job, const WorkspaceId& workspace,
                               Transaction transaction, Milliseconds deadline,
                               std::function<void(const Result&)> callback) {
  const std::string key = RecordKey(job);
  const KnownRecord known = RecordOf(key);
  const Withdrawal withdrawal = MakeWithdrawal(job, workspace, m_next_stamp++);
  WithdrawalRecord record = known.record;
  if (const std::optional<Milliseconds> wait = record.Add(withdrawal); wait.has_value()) {
    callback(Result{Outcome::kFull, *wait});
    return;
  }
  const std::string text = record.Encode();
  transaction.Expect(key, known.revision).Put(key, text);
  CommitWithRetries(
      m_timers, m_store, transaction, deadline,
      [this, key, withdrawal, text, callback = std::move(callback)](const WriteResult& written) {
        OnWritten(key, withdrawal, text, written, callback);
      });
}

void WithdrawalStore::OnWritten(const std::string& key, const Withdrawal& withdrawal,
                                const std::string& text, const WriteResult& written,
                                const std::function<void(const Result&)>& callback) {
  switch (written.outcome) {
    case WriteOutcome::kStored:
      Adopt(key, written.revision, text);
      RecordHeld();
      SchedulePrune(key);
      callback(Result{Outcome::kStored});
      return;
    case WriteOutcome::kConflict:
      Adopt(withdrawal.job, written.items);
      if (RecordOf(key).record.Includes(withdrawal)) {
        // An earlier send of this write was applied.
        RecordHeld();
        SchedulePrune(key);
        callback(Result{Outcome::kStored});
      } else {
        callback(Result{Outcome::kConflict, Milliseconds(0), written.items});
      }
      return;
    case WriteOutcome::kNotSent:
      callback(Result{Outcome::kNotSent});
      return;
    case WriteOutcome::kUnclear:
      callback(Result{Outcome::kUnclear});
      return;
  }
}

void WithdrawalStore::RecordHeld() {
  m_held_until.push_back(m_timers.clock().Now() + kWithdrawalLifetime);
  ExportHeld();
  m_timers.After(kWithdrawalLifetime, [this] { ExportHeld(); });
}

void WithdrawalStore::ExportHeld() {
  const Milliseconds now = m_timers.clock().Now();
  while (!m_held_until.empty() && m_held_until.front() <= now) {
    m_held_until.pop_front();
    m_metrics.Increment("papayalift_withdrawals_removed_total");
  }
  m_metrics.SetGauge("papayalift_withdrawals_held", static_cast<double>(m_held_until.size()));
}

void WithdrawalStore::SchedulePrune(const std::string& key) {
  const WithdrawalRecord record = RecordOf(key).record;
  if (record.size() > 0 && m_prunes_scheduled.insert(key).second) {
    m_timers.After(std::max(record.TimeUntilExpiry(), kMinPruneInterval),
                   [this, key] { Prune(key); });
  }
}

void WithdrawalStore::Prune(const std::string& key) {
  m_prunes_scheduled.erase(key);
  const std::size_t stored = m_records.at(key).record.size();
  const KnownRecord known = RecordOf(key);
  const WithdrawalRecord& record = known.record;
  SchedulePrune(key);
  if (record.size() == stored) {
    return;
  }
  const std::string text = record.Encode();
  Transaction transaction;
  transaction.Expect(key, known.revision).Put(key, text);
  // NOTE: if another node has written the record meanwhile, it has dropped what had expired.
  CommitWithRetries(m_timers, m_store, transaction, m_timers.clock().Now() + kPruneTimeout,
                    [this, key, text](const WriteResult& written) {
                      if (written.outcome == WriteOutcome::kStored) {
                        Adopt(key, written.revision, text);
                      } else if (written.outcome == WriteOutcome::kConflict) {
                        for (const StoreItem& item : written.items) {
                          Adopt(key, item.revision, item.value);
                        }
                      }
                    });
}

}  // namespace papayalift
