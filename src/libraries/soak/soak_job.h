/// What a soak's consumers know of one job.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

/// What the answers to the attempts to hand a job in say, together.
enum class SubmitOutcome {
  /// Not every attempt was answered yet, or some were not answered clearly.
  kOpen,
  kAccepted,
  /// Every attempt was rejected: it never runs.
  kRejected,
};

struct SoakJob {
  JobId id;
  /// As it is submitted.
  std::string body;
  int tasks = 0;
  SubmitOutcome submit_outcome = SubmitOutcome::kOpen;
  int attempts = 0;
  bool has_unclear_attempt = false;
  std::optional<Milliseconds> accepted_at;
  bool cancel_is_wanted = false;
  bool cancel_was_sent = false;
  std::optional<Milliseconds> cancelled_at;
  /// The last state that was shown; empty before the first.
  std::string state;
};

/// What the minions saw of it.
struct SoakJobRecord {
  JobId id;
  int starts = 0;
  Milliseconds last_order_at{0};
  int running = 0;
  int done = 0;
};

inline bool IsEndState(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled";
}

}  // namespace papayalift
