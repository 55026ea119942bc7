/// One job, as stored in the key-value service.
#pragma once

#include <string>

#include "libraries/base/verdict.h"
#include "libraries/model/job_spec.h"

namespace papayalift {

enum class JobState {
  kQueued,
  /// Capacity is reserved; no task runs yet.
  kStarting,
  kRunning,
  /// Its tasks are being stopped; then it is queued again or ends.
  kStopping,
  kSucceeded,
  kFailed,
  kCancelled,
};

enum class CancelRequest { kNone, kRequested };

struct JobRecord {
  JobId id;
  JobSpec spec;
  JobState state = JobState::kQueued;
  /// Counts the attempts whose start may have reached a worker, and the one in progress.
  AttemptNumber attempt;
  AttemptId attempt_id;
  Verdict verdict = Verdict::kNotRun;
  CancelRequest cancel = CancelRequest::kNone;
  /// Why it is in this state, for the caller.
  std::string reason;
  /// Wall clock.
  Milliseconds submitted_at{0};
  /// When it was last queued: at its submission, or after its last attempt.
  Milliseconds queued_at{0};
  Milliseconds started_at{0};
  Milliseconds finished_at{0};
  /// Completed work saved by its last checkpoint.
  Milliseconds checkpoint{0};
  /// Attained service: how long its gangs have held accelerators, over all attempts.
  Milliseconds attained{0};
};

constexpr bool IsFinal(JobState state) {
  return state == JobState::kSucceeded || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

/// The same workspace and key always give the same id.
JobId JobIdOf(const WorkspaceId& workspace, const CallerKey& key);

}  // namespace papayalift
