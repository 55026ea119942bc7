/// One node's way to a shared store, with faults on demand.
#pragma once

#include <deque>
#include <vector>

#include "libraries/store/memory_store.h"

namespace papayalift {

enum class CommitFault {
  kNone,
  /// Lost before it was sent.
  kDropped,
  /// Applied; the answer is lost.
  kAnswerLost,
  /// Applied only once DeliverDelayed() is called; no answer comes.
  kDelayed,
};

enum class StoreReach { kReachable, kCutOff };

class FaultyStore final : public KeyValueService {
 public:
  explicit FaultyStore(MemoryStore& store) : m_store(store) {}

  absl::StatusOr<RangeAnswer> Range(const KeyRange& range) override;
  absl::StatusOr<std::vector<RangeAnswer>> RangeAll(const std::vector<KeyRange>& ranges) override;
  TransactionOutcome Commit(const Transaction& transaction) override;
  /// Hands over what there is and ends, so that a test decides when a node learns of changes.
  absl::Status Watch(const KeyRange& range, Revision start, const WatchSink& sink) override;

  /// The faults of commits to come, in order.
  void FailNextCommit(CommitFault fault) { m_faults.push_back(fault); }
  void DeliverDelayed();
  void SetReach(StoreReach reach) { m_reach = reach; }
  /// Ends all faults; what was delayed arrives.
  void ClearFaults();
  /// Reads that are answered before the store is cut off.
  void CutOffAfterReads(int reads) { m_reads_left = reads; }

  int commits() const { return m_commits; }

 private:
  CommitFault NextFault();
  bool TryCountRead();

  MemoryStore& m_store;
  std::deque<CommitFault> m_faults;
  std::vector<Transaction> m_delayed;
  StoreReach m_reach = StoreReach::kReachable;
  int m_reads_left = -1;
  int m_commits = 0;
};

}  // namespace papayalift
