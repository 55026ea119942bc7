#include "node/faulty_store.h"

namespace papayalift {

namespace {

absl::Status CutOffError() { return absl::UnavailableError("the store can't be reached"); }

}  // namespace

absl::StatusOr<RangeAnswer> FaultyStore::Range(const KeyRange& range) {
  if (!AllowRead()) {
    return CutOffError();
  }
  return m_store.Range(range);
}

absl::StatusOr<std::vector<RangeAnswer>> FaultyStore::RangeAll(
    const std::vector<KeyRange>& ranges) {
  if (!AllowRead()) {
    return CutOffError();
  }
  return m_store.RangeAll(ranges);
}

TransactionOutcome FaultyStore::Commit(const Transaction& transaction) {
  if (m_reach == StoreReach::kCutOff) {
    return TransactionOutcome{};
  }
  ++m_commits;
  TransactionOutcome unclear;
  unclear.result = TransactionResult::kUnclear;
  switch (NextFault()) {
    case CommitFault::kNone:
      return m_store.Commit(transaction);
    case CommitFault::kDropped:
      return TransactionOutcome{};
    case CommitFault::kAnswerLost:
      m_store.Commit(transaction);
      return unclear;
    case CommitFault::kDelayed:
      m_delayed.push_back(transaction);
      return unclear;
  }
  return unclear;
}

absl::Status FaultyStore::Watch(const KeyRange& range, Revision start, const WatchSink& sink) {
  if (m_reach == StoreReach::kCutOff) {
    return CutOffError();
  }
  const absl::StatusOr<WatchBatch> batch = m_store.WaitForChanges(range, start, Milliseconds(0));
  if (!batch.ok()) {
    return batch.status();
  }
  sink(*batch);
  return absl::OkStatus();
}

void FaultyStore::DeliverDelayed() {
  for (const Transaction& transaction : m_delayed) {
    m_store.Commit(transaction);
  }
  m_delayed.clear();
}

void FaultyStore::ClearFaults() {
  m_faults.clear();
  m_reach = StoreReach::kReachable;
  m_reads_left = -1;
  DeliverDelayed();
}

CommitFault FaultyStore::NextFault() {
  if (m_faults.empty()) {
    return CommitFault::kNone;
  }
  const CommitFault fault = m_faults.front();
  m_faults.pop_front();
  return fault;
}

bool FaultyStore::AllowRead() {
  if (m_reads_left == 0) {
    m_reach = StoreReach::kCutOff;
    m_reads_left = -1;
  } else if (m_reads_left > 0) {
    --m_reads_left;
  }
  return m_reach == StoreReach::kReachable;
}

}  // namespace papayalift
