/// In-memory key-value store, which backs the stand-in platform and serves as a fake in tests.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "libraries/store/key_value_service.h"

namespace papayalift {

class MemoryStore final : public KeyValueService {
 public:
  absl::StatusOr<RangeAnswer> Range(const KeyRange& range) override;
  absl::StatusOr<std::vector<RangeAnswer>> RangeAll(const std::vector<KeyRange>& ranges) override;
  TransactionOutcome Commit(const Transaction& transaction) override;
  absl::Status Watch(const KeyRange& range, Revision start, const WatchSink& sink) override;

  /// Waits up to `timeout` for changes from `start` on. kOutOfRange if they were compacted.
  absl::StatusOr<WatchBatch> WaitForChanges(const KeyRange& range, Revision start,
                                            Milliseconds timeout);

  /// Discards the history before `revision`; keeps current records.
  void Compact(Revision revision);

  Revision revision() const;

 private:
  struct HistoryEntry {
    Revision revision;
    WatchEvent event;
  };

  RangeAnswer ReadLocked(const KeyRange& range) const;
  bool ComparisonHoldsLocked(const Comparison& comparison) const;
  void ApplyLocked(const Write& write);
  WatchBatch CollectChangesLocked(const KeyRange& range, Revision start) const;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, KeyValue> m_records;
  std::deque<HistoryEntry> m_history;
  Revision m_revision{1};
  Revision m_compacted_revision{0};
};

}  // namespace papayalift
