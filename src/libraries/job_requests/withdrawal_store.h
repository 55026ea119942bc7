/// Stores the withdrawals of jobs, and tells submissions what to compare. The only place that
/// decides whether the refusal of a job holds.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "libraries/job_requests/commit_with_retries.h"
#include "libraries/journal/withdrawal_record.h"
#include "libraries/loop/timers.h"
#include "libraries/metrics/metrics.h"
#include "libraries/work/store_port.h"

namespace papayalift {

/// A few records hold all withdrawals. Each withdrawal writes the record of its job, and each
/// submission compares the revision of its job's record. A submission that was sent before the
/// withdrawal can therefore never be carried out after it, however late the store does: the record
/// is never removed, and its revision only rises. No lease has to last for that, and no clock to be
/// right. The list in the record only says how long later submissions of the id are refused; each
/// node lets the withdrawals that it knows age on its own steady clock.
class WithdrawalStore {
 public:
  /// Records of all jobs together. Fewer make submissions of other jobs conflict more often, each
  /// once for each withdrawal; more make cancelled ids keep more state.
  static constexpr std::uint64_t kRecords = 64;

  WithdrawalStore(Timers& timers, StorePort& store, Metrics& metrics);

  /// Key of the record that holds the job's withdrawals.
  static std::string RecordKey(const JobId& job);

  /// Adds the comparison that fails the submission of the job if any job of its record is withdrawn
  /// after this call.
  void ExpectNoWithdrawal(const JobId& job, Transaction& transaction) const;

  /// Whether the workspace's job is withdrawn, as far as this node knows. Another node may have
  /// dropped the withdrawal since.
  bool IsWithdrawn(const JobId& job, const WorkspaceId& workspace) const;

  /// Takes over the job's record, if it is among the items that a conflict has shown.
  void Adopt(const JobId& job, const std::vector<StoreItem>& items);

  enum class Outcome {
    kStored,
    /// Another write came first. The withdrawal is to be decided on anew.
    kConflict,
    kNotSent,
    kUnclear,
    /// The record is full; `retry_after` says when there will be room.
    kFull,
  };
  struct Result {
    Outcome outcome = Outcome::kUnclear;
    Milliseconds retry_after{0};
    /// Current items of the compared keys; only after a conflict.
    std::vector<StoreItem> items{};
  };
  /// Stores the withdrawal under the transaction's comparisons, and retries until `deadline`.
  void Withdraw(const JobId& job, const WorkspaceId& workspace, Transaction transaction,
                Milliseconds deadline, std::function<void(const Result&)> callback);

 private:
  struct KnownRecord {
    Revision revision;
    WithdrawalRecord record;
    /// When this node read it.
    Milliseconds read_at{0};
  };

  /// What this node knows of the record, aged until now.
  KnownRecord RecordOf(const std::string& key) const;
  void Adopt(const std::string& key, Revision revision, const std::string& text);
  void OnWritten(const std::string& key, const Withdrawal& withdrawal, const std::string& text,
                 const WriteResult& written, const std::function<void(const Result&)>& callback);
  void RecordHeld();
  void ExportHeld();
  void SchedulePrune(const std::string& key);
  /// Writes the record without what has expired, so that an idle one does not stay large.
  void Prune(const std::string& key);

  Timers& m_timers;
  StorePort& m_store;
  Metrics& m_metrics;
  std::map<std::string, KnownRecord> m_records;
  std::set<std::string> m_prunes_scheduled;
  /// Until when each withdrawal that this node has stored is kept.
  std::deque<Milliseconds> m_held_until;
  /// Of the next withdrawal. The first is drawn by chance, so that no two nodes share one.
  std::uint64_t m_next_stamp;
};

}  // namespace papayalift
