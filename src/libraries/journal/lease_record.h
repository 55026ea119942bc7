/// The store's record of which leaders may have granted leases to which minions. It lets a leader
/// know when the leases of former ones have expired, however many there were.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

/// A minion to which no lease is granted while it is listed.
struct SilentMinion {
  MinionId minion;
  /// Rises with each entry that is added, so that one that was removed and added again differs.
  std::int64_t number = 0;
  /// All leases that it was granted expire within this time after the record was written. Later
  /// leaders write what is left by then.
  Milliseconds leases_left{0};

  bool operator==(const SilentMinion&) const = default;
};

struct LeaseRecord {
  /// Token of the last leader that may have granted leases. Each writes its own before it grants
  /// any.
  FencingToken token;
  /// The highest number that any entry has had.
  std::int64_t last_number = 0;
  std::vector<SilentMinion> silent_minions;

  bool operator==(const LeaseRecord&) const = default;
};

std::string EncodeLeaseRecord(const LeaseRecord& record);
/// kInvalidArgument if `text` is malformed or a number is out of its range.
absl::StatusOr<LeaseRecord> DecodeLeaseRecord(const std::string& text);

}  // namespace papayalift
