/// Text form of what is known of the speed of machines, as it is kept in the store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "libraries/leader/host_speeds.h"
#include "libraries/leader/queue_durations.h"

namespace papayalift {

/// A time on the steady clock of the process and on the wall clock.
struct ClockReading {
  Milliseconds steady{0};
  Milliseconds wall{0};
};

struct HostSpeedRecord {
  /// By address, with times on the steady clock of the process.
  std::map<std::string, HostSpeed> hosts;
  std::map<QueueId, QueueDuration> queues;
};

/// Texts of at most kMaxSpeedRecordBytes each. Each can be decoded without the others.
std::vector<std::string> EncodeHostSpeeds(const HostSpeedRecord& record, const ClockReading& now);

/// The text may be of another process: the wall clock tells how old it is. Fails if it is
/// malformed.
absl::StatusOr<HostSpeedRecord> DecodeHostSpeeds(const std::string& text, const ClockReading& now);

constexpr std::size_t kMaxSpeedRecordBytes = 65'536;

}  // namespace papayalift
