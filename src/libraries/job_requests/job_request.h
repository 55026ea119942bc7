/// Requests of consumers to a queue, and the replies to them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/journal/job_progress.h"

namespace papayalift {

/// Longest time that a request may take, whatever its consumer asks for.
constexpr Milliseconds kMaxRequestBudget{60'000};

enum class JobRequestKind { kSubmit, kQuery, kCancel };

struct JobRequest {
  JobRequestKind kind = JobRequestKind::kQuery;
  std::string host;
  /// The queue's path prefix and the job's id. In a query, the prefix alone asks for the number of
  /// pending jobs.
  std::string path;
  /// API key; empty if the consumer sent none.
  std::string key;
  std::string body;
  /// Time from arrival until the consumer stops waiting for the reply.
  Milliseconds budget{3'000};
};

enum class JobReplyKind {
  /// The job is stored, by this request or an earlier one.
  kAccepted,
  kState,
  kPending,
  /// The cancellation is stored, or the job had ended.
  kCancelled,
  kNoSuchQueue,
  kNoSuchJob,
  /// A cancellation of the job came before its submission. Nothing was stored, and this request has
  /// no later effect.
  kWithdrawn,
  /// The id is in use by a job that the consumer may not access. Nothing was stored.
  kIdTaken,
  /// The cancellation was not stored, because too many jobs that are not stored were cancelled.
  kTooManyCancellations,
  kBadKey,
  kMalformed,
  /// The job or its queue needs a feature that is not supported; the job was not run.
  kUnsupported,
  /// A step of the job can never fit the quota of its workspace; the job was not run.
  kExceedsQuota,
  /// Nothing was stored, and this request has no later effect.
  kUnavailable,
  /// The request may have taken effect; repeating it gives the outcome.
  kUnclear,
};

struct JobReply {
  JobReplyKind kind = JobReplyKind::kUnavailable;
  JobId job{};
  WorkState state = WorkState::kQueued;
  std::int64_t pending = 0;
  /// Reason of a refusal, for the consumer.
  std::string detail{};
  /// When there will be room; only set with kTooManyCancellations.
  Milliseconds retry_after{0};
};

using JobReplyCallback = std::function<void(JobReply)>;

}  // namespace papayalift
