/// Connects one node to the shared store, with injected faults.
#pragma once

#include <deque>
#include <vector>

#include "libraries/store/memory_store.h"

namespace papayalift {

enum class CommitFault {
  kNone,
  /// Fails before it is sent.
  kDropped,
  /// Applied; the response is lost.
  kAnswerLost,
  /// Applied with DeliverDelayed(); no response.
  kDelayed,
};

enum class StoreReach { kReachable, kCutOff };

class FaultyStore final : public KeyValueService {
 public:
  explicit FaultyStore(MemoryStore& store) : m_store(store) {}

  absl::StatusOr<RangeAnswer> Range(const KeyRange& range) override;
  absl::StatusOr<std::vector<RangeAnswer>> RangeAll(const std::vector<KeyRange>& ranges) override;
  TransactionOutcome Commit(const Transaction& transaction) override;
  /// Delivers the changes so far and returns, so that a test decides when a node learns of changes.
  absl::Status Watch(const KeyRange& range, Revision start, const WatchSink& sink) override;

  /// Appends the fault of a future commit; each commit uses up one.
  void FailNextCommit(CommitFault fault) { m_faults.push_back(fault); }
  void DeliverDelayed();
  void SetReach(StoreReach reach) { m_reach = reach; }
  /// Ends all faults and delivers delayed commits.
  void ClearFaults();
  /// Cuts the node off from the store after `reads` more reads.
  void CutOffAfterReads(int reads) { m_reads_left = reads; }

  int commits() const { return m_commits; }

 private:
  CommitFault NextFault();
  bool AllowRead();

  MemoryStore& m_store;
  std::deque<CommitFault> m_faults;
  std::vector<Transaction> m_delayed;
  StoreReach m_reach = StoreReach::kReachable;
  int m_reads_left = -1;
  int m_commits = 0;
};

}  // namespace papayalift
