/// A transaction that is sent until its outcome is clear.
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
  /// A condition failed, and no send of this write can apply any more.
  kConflict,
  /// No send ever reached the store.
  kNotSent,
  /// Time ran out without a clear answer.
  kUnclear,
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kUnclear;
  /// The compared keys as they are; only after a conflict.
  std::vector<StoreItem> items;
  std::string error;
};

/// Sends `transaction` until its outcome is clear; at `deadline` it is unclear, also while a send
/// is under way. Keeps itself alive.
void CommitWithRetries(Timers& timers, StorePort& store, const Transaction& transaction,
                       Milliseconds deadline, std::function<void(WriteResult)> callback);

}  // namespace papayalift
