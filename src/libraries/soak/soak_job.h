/// A job as the consumers and the minions of a soak know it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

/// Combined outcome of all attempts to submit a job.
enum class SubmitOutcome {
  /// Some attempts are unanswered, or their answers are inconclusive.
  kOpen,
  kAccepted,
  /// Every attempt was rejected; the job must never run.
  kRejected,
};

struct SoakJob {
  JobId id;
  /// JSON body of the submission.
  std::string body;
  int tasks = 0;
  SubmitOutcome submit_outcome = SubmitOutcome::kOpen;
  int attempts = 0;
  bool has_unclear_attempt = false;
  std::optional<Milliseconds> accepted_at;
  bool cancel_is_wanted = false;
  bool cancel_was_sent = false;
  std::optional<Milliseconds> cancelled_at;
  /// The last reported state; empty before the first report.
  std::string state;
};

/// The minions' record of a job.
struct SoakJobRecord {
  JobId id;
  int starts = 0;
  Milliseconds last_order_at{0};
  int running = 0;
  int done = 0;
  /// The longest time that it had no run, after its first start, while many minions were empty.
  Milliseconds stood{0};
};

inline bool IsEndState(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled";
}

}  // namespace papayalift
