/// How the product reaches the store that keeps what must last.
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
  /// Its last change; 0 where the key does not exist.
  Revision revision;
  Revision create_revision;
};

struct CommitAnswer {
  TransactionResult result = TransactionResult::kUnclear;
  /// Of the change; only where it was applied.
  Revision revision;
  /// The compared keys as they are now; only after a conflict.
  std::vector<StoreItem> items;
  std::string error;
};

enum class ReadResult { kOk, kFailed };

struct ReadAnswer {
  ReadResult result = ReadResult::kFailed;
  /// All items below the prefix, or the one that was asked for; empty where there is none.
  std::vector<StoreItem> items;
  /// The store's revision at the first page: a watch from here misses nothing.
  Revision revision;
  std::string error;
};

struct WatchedChange {
  StoreItem item;
  WriteKind kind = WriteKind::kPut;
};

enum class WatchResult {
  kOk,
  /// Changes since then are forgotten: read anew.
  kCompacted,
  kFailed,
};

struct WatchAnswer {
  WatchResult result = WatchResult::kFailed;
  std::vector<WatchedChange> changes;
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

/// Answers come later, on the caller's thread, exactly once; each call has a limit of its own.
class StorePort {
 public:
  virtual ~StorePort() = default;

  virtual void Commit(const Transaction& transaction,
                      std::function<void(CommitAnswer)> callback) = 0;
  virtual void Read(const std::string& key, std::function<void(ReadAnswer)> callback) = 0;
  virtual void ReadAll(const std::string& prefix, std::function<void(ReadAnswer)> callback) = 0;
  /// Answers with the changes after `after`, at once if there are any, else after `wait` without.
  virtual void Watch(const std::string& prefix, Revision after, Milliseconds wait,
                     std::function<void(WatchAnswer)> callback) = 0;
  virtual void GrantLease(Milliseconds time_to_live, std::function<void(LeaseAnswer)> callback) = 0;
  virtual void RenewLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) = 0;
  virtual void RevokeLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) = 0;
};

}  // namespace papayalift
