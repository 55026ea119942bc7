/// Interface to the store that holds the durable state.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "libraries/base/units.h"
#include "libraries/store/transaction.h"

namespace papayalift {

struct StoreItem {
  std::string key;
  std::string value;
  /// Revision of the last change; 0 if the key does not exist.
  Revision revision;
  Revision create_revision;
};

struct CommitAnswer {
  TransactionResult result = TransactionResult::kUnclear;
  /// Revision of the change; only set if the transaction was applied.
  Revision revision;
  /// The compared keys with their current values; only set after a conflict.
  std::vector<StoreItem> items;
  std::string error;
};

enum class ReadResult { kOk, kFailed };

struct ReadAnswer {
  ReadResult result = ReadResult::kFailed;
  /// All items with the prefix, or the one with the key; empty if there is none.
  std::vector<StoreItem> items;
  /// The store's revision at the first page. A watch from this revision misses no change.
  Revision revision;
  std::string error;
};

struct WatchedChange {
  StoreItem item;
  WriteKind kind = WriteKind::kPut;
};

enum class WatchResult {
  kOk,
  /// The store no longer has all changes since the revision; the items must be read again.
  kCompacted,
  kFailed,
};

struct WatchAnswer {
  WatchResult result = WatchResult::kFailed;
  std::vector<WatchedChange> changes;
  /// The next watch continues from here.
  Revision revision;
  std::string error;
};

enum class LeaseResult { kOk, kExpired, kFailed };

struct LeaseAnswer {
  LeaseResult result = LeaseResult::kFailed;
  StoreLease lease;
  Milliseconds time_to_live{0};
  std::string error;
};

/// Callbacks are called asynchronously, on the caller's thread and exactly once. Each call has its
/// own timeout.
class StorePort {
 public:
  virtual ~StorePort() = default;

  virtual void Commit(const Transaction& transaction,
                      std::function<void(CommitAnswer)> callback) = 0;
  virtual void Read(const std::string& key, std::function<void(ReadAnswer)> callback) = 0;
  virtual void ReadAll(const std::string& prefix, std::function<void(ReadAnswer)> callback) = 0;
  /// Returns the changes after revision `after`: at once if there are any, else as soon as there is
  /// one, or none after `wait`.
  virtual void Watch(const std::string& prefix, Revision after, Milliseconds wait,
                     std::function<void(WatchAnswer)> callback) = 0;
  virtual void GrantLease(Milliseconds time_to_live, std::function<void(LeaseAnswer)> callback) = 0;
  virtual void RenewLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) = 0;
  virtual void RevokeLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) = 0;
};

}  // namespace papayalift
