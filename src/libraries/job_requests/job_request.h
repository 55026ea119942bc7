/// What consumers ask of a queue, and what they are told.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/journal/job_progress.h"

namespace papayalift {

enum class JobRequestKind { kSubmit, kQuery, kCancel };

struct JobRequest {
  JobRequestKind kind = JobRequestKind::kQuery;
  std::string host;
  /// The queue's prefix and the job's id; the prefix alone asks for the number of pending jobs.
  std::string path;
  /// Empty where the consumer sent none.
  std::string key;
  std::string body;
  /// How long the consumer waits for its answer.
  Milliseconds budget{3'000};
};

enum class JobReplyKind {
  /// The job is stored; also where it was already.
  kAccepted,
  kState,
  kPending,
  /// The cancellation is stored, or the job had ended.
  kCancelled,
  kNoSuchQueue,
  kNoSuchJob,
  kBadKey,
  kMalformed,
  /// The queue asks for what this product can't do; not run.
  kUnsupported,
  /// Nothing was done, and never will be under this request.
  kUnavailable,
  /// It may have been done; the same request tells.
  kUnclear,
};

struct JobReply {
  JobReplyKind kind = JobReplyKind::kUnavailable;
  JobId job{};
  WorkState state = WorkState::kQueued;
  std::int64_t pending = 0;
  /// Why, for the consumer.
  std::string detail{};
};

using JobReplyCallback = std::function<void(JobReply)>;

}  // namespace papayalift
