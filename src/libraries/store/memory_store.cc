#include "libraries/store/memory_store.h"

#include <algorithm>

namespace papayalift {

namespace {

constexpr std::size_t kMaxHistoryEntries = 100'000;
constexpr Milliseconds kIdleWatchInterval{1'000};

}  // namespace

absl::StatusOr<RangeAnswer> MemoryStore::Range(const KeyRange& range) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return ReadLocked(range);
}

absl::StatusOr<std::vector<RangeAnswer>> MemoryStore::RangeAll(
    const std::vector<KeyRange>& ranges) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<RangeAnswer> answers;
  answers.reserve(ranges.size());
  for (const KeyRange& range : ranges) {
    answers.push_back(ReadLocked(range));
  }
  return answers;
}

TransactionOutcome MemoryStore::Commit(const Transaction& transaction) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  TransactionOutcome outcome;
  outcome.revision = m_revision;
  outcome.result = TransactionResult::kConflict;
  for (const Comparison& comparison : transaction.comparisons()) {
    if (!ComparisonHoldsLocked(comparison)) {
      return outcome;
    }
  }
  outcome.result = TransactionResult::kApplied;
  if (transaction.writes().empty()) {
    return outcome;
  }
  m_revision = m_revision.Next();
  outcome.revision = m_revision;
  for (const Write& write : transaction.writes()) {
    ApplyLocked(write);
  }
  while (m_history.size() > kMaxHistoryEntries) {
    m_compacted_revision = m_history.front().revision;
    m_history.pop_front();
  }
  m_changed.notify_all();
  return outcome;
}

absl::Status MemoryStore::Watch(const KeyRange& range, Revision start, const WatchSink& sink) {
  Revision next = start;
  while (true) {
    const absl::StatusOr<WatchBatch> batch = WaitForChanges(range, next, kIdleWatchInterval);
    if (!batch.ok()) {
      return batch.status();
    }
    if (!sink(*batch)) {
      return absl::OkStatus();
    }
    next = std::max(next, batch->revision.Next());
  }
}

absl::StatusOr<WatchBatch> MemoryStore::WaitForChanges(const KeyRange& range, Revision start,
                                                       Milliseconds timeout) {
  std::unique_lock<std::mutex> lock(m_mutex);
  if (timeout > Milliseconds(0)) {
    m_changed.wait_for(lock, timeout, [this, start] { return m_revision >= start; });
  }
  if (start <= m_compacted_revision) {
    return absl::OutOfRangeError("the start revision was compacted");
  }
  return CollectChangesLocked(range, start);
}

void MemoryStore::Compact(Revision revision) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  while (!m_history.empty() && m_history.front().revision < revision) {
    m_history.pop_front();
  }
  m_compacted_revision = std::max(m_compacted_revision, Revision(revision.value() - 1));
}

Revision MemoryStore::revision() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_revision;
}

RangeAnswer MemoryStore::ReadLocked(const KeyRange& range) const {
  RangeAnswer answer;
  answer.revision = m_revision;
  for (auto record = m_records.lower_bound(range.first);
       record != m_records.end() && range.Contains(record->first); ++record) {
    answer.records.push_back(record->second);
  }
  return answer;
}

bool MemoryStore::ComparisonHoldsLocked(const Comparison& comparison) const {
  const auto found = m_records.find(comparison.key);
  const Revision modified = found == m_records.end() ? Revision(0) : found->second.modified;
  return modified == comparison.modified;
}

void MemoryStore::ApplyLocked(const Write& write) {
  HistoryEntry entry;
  entry.revision = m_revision;
  entry.event.record = KeyValue{write.key, write.value, m_revision};
  if (write.kind == WriteKind::kPut) {
    m_records[write.key] = entry.event.record;
  } else {
    if (m_records.erase(write.key) == 0) {
      return;
    }
    entry.event.kind = ChangeKind::kDelete;
    entry.event.record.value.clear();
  }
  m_history.push_back(entry);
}

WatchBatch MemoryStore::CollectChangesLocked(const KeyRange& range, Revision start) const {
  WatchBatch batch;
  batch.revision = m_revision;
  const auto first = std::lower_bound(
      m_history.begin(), m_history.end(), start,
      [](const HistoryEntry& entry, Revision wanted) { return entry.revision < wanted; });
  for (auto entry = first; entry != m_history.end(); ++entry) {
    if (range.Contains(entry->event.record.key)) {
      batch.events.push_back(entry->event);
    }
  }
  return batch;
}

}  // namespace papayalift
