/// Interface of the platform's key-value service.
#pragma once

#include <functional>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/store/key_range.h"
#include "libraries/store/key_value.h"
#include "libraries/store/transaction.h"
#include "libraries/store/watch_event.h"

namespace papayalift {

/// The records of a range at one revision.
struct RangeAnswer {
  std::vector<KeyValue> records;
  Revision revision;
};

/// Receives a batch, which is empty after about a second without changes. Returns false to end the
/// watch.
using WatchSink = std::function<bool(const WatchBatch&)>;

/// Thread-safe. Every call blocks until its answer or the timeout of the implementation.
class KeyValueService {
 public:
  virtual ~KeyValueService() = default;

  /// kUnavailable if the service can't be reached or answers too late.
  virtual absl::StatusOr<RangeAnswer> Range(const KeyRange& range) = 0;

  /// Reads several ranges at one revision in one call. Answers have the order of `ranges`.
  virtual absl::StatusOr<std::vector<RangeAnswer>> RangeAll(
      const std::vector<KeyRange>& ranges) = 0;

  virtual TransactionOutcome Commit(const Transaction& transaction) = 0;

  /// Streams changes from `start` on until the sink ends the watch (OK) or the connection breaks
  /// (kUnavailable). kOutOfRange: `start` was compacted; the caller must read the range again.
  virtual absl::Status Watch(const KeyRange& range, Revision start, const WatchSink& sink) = 0;
};

}  // namespace papayalift
