/// Commits a transaction to the store and retries until its outcome is known.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/loop/timers.h"
#include "libraries/work/store_port.h"

namespace papayalift {

enum class WriteOutcome {
  kStored,
  /// A comparison failed. An earlier send may have been applied; none can be applied any more.
  kConflict,
  /// The store executed no send.
  kNotSent,
  /// The deadline passed without a definite answer.
  kUnclear,
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kUnclear;
  /// Current items of the compared keys; only after a conflict.
  std::vector<StoreItem> items;
  std::string error;
  /// Of the store after the write; only if it is stored.
  Revision revision{};
};

/// Commits `transaction`, and sends it again while its outcome is unclear. Calls `callback` once:
/// with the outcome, or with kUnclear at `deadline` (or 100 ms from now, if that is later), even
/// while a send is in flight. The operation keeps itself alive; `timers` and `store` must outlive
/// it.
void CommitWithRetries(Timers& timers, StorePort& store, const Transaction& transaction,
                       Milliseconds deadline, std::function<void(WriteResult)> callback);

}  // namespace papayalift
