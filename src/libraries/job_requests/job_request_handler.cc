#include "libraries/job_requests/job_request_handler.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "libraries/base/enum_names.h"
#include "libraries/job_requests/job_access.h"
#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// A manifest whose last confirmation is older is confirmed again before it decides on a request.
constexpr Milliseconds kMaxManifestAge{300};
/// Part of a request's budget that is reserved for sending the reply.
constexpr Milliseconds kReplyMargin{200};
/// A write that conflicts with a changed manifest, or a failed read, dispatches its request again,
/// up to this limit.
constexpr int kMaxDispatches = 5;
/// Pause after the first failed read of a request; doubled after each further one.
constexpr Milliseconds kFirstReadRetryDelay{100};
constexpr std::size_t kJobIdLength = 16;

constexpr std::array<EnumName<JobReplyKind>, 15> kReplyNames{
    {{JobReplyKind::kAccepted, "accepted"},
     {JobReplyKind::kState, "state"},
     {JobReplyKind::kPending, "pending"},
     {JobReplyKind::kCancelled, "cancelled"},
     {JobReplyKind::kNoSuchQueue, "no such queue"},
     {JobReplyKind::kNoSuchJob, "no such job"},
     {JobReplyKind::kWithdrawn, "withdrawn"},
     {JobReplyKind::kIdTaken, "id taken"},
     {JobReplyKind::kTooManyCancellations, "too many cancellations"},
     {JobReplyKind::kBadKey, "bad key"},
     {JobReplyKind::kMalformed, "malformed"},
     {JobReplyKind::kUnsupported, "unsupported"},
     {JobReplyKind::kExceedsQuota, "exceeds quota"},
     {JobReplyKind::kUnavailable, "unavailable"},
     {JobReplyKind::kUnclear, "unclear"}}};

constexpr std::array<EnumName<JobRequestKind>, 3> kRequestNames{
    {{JobRequestKind::kSubmit, "submit"},
     {JobRequestKind::kQuery, "ask"},
     {JobRequestKind::kCancel, "cancel"}}};

bool IsJobId(const std::string& text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char digit) { return std::isxdigit(digit) != 0; });
}

const StoreItem* FindItem(const std::vector<StoreItem>& items, const std::string& key) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&key](const StoreItem& item) { return item.key == key; });
  return found == items.end() || found->revision.value() == 0 ? nullptr : &*found;
}

}  // namespace

JobRequestHandler::JobRequestHandler(Timers& timers, StorePort& store, const FleetSchema& schema,
                                     ManifestView& view, Metrics& metrics,
                                     const WithdrawalLimits& withdrawal_limits)
    : m_timers(timers),
      m_store(store),
      m_schema(schema),
      m_view(view),
      m_metrics(metrics),
      m_withdrawal_limiter(withdrawal_limits),
      m_withdrawals(timers, store, metrics) {}

void JobRequestHandler::Handle(JobRequest request, JobReplyCallback reply) {
  const RequestContextPointer context = std::make_shared<RequestContext>();
  context->arrived_at = m_timers.clock().Now();
  context->deadline =
      context->arrived_at + request.budget - std::min(kReplyMargin, request.budget / 2);
  context->request = std::move(request);
  context->reply = std::move(reply);
  // Lets the log name the job even if the request is refused before its queue is known.
  const std::string& path = context->request.path;
  const std::string last_segment = path.substr(path.rfind('/') + 1);
  context->job = JobId(IsJobId(last_segment) ? last_segment : "");
  Dispatch(context);
}

void JobRequestHandler::Dispatch(const RequestContextPointer& context) {
  ++context->dispatches;
  StartDeadlineTimer(context);
  m_view.Confirm(kMaxManifestAge, [this, context](Freshness freshness) {
    if (context->is_answered) {
      return;
    }
    if (freshness == Freshness::kUnknown) {
      Refuse(context, JobReplyKind::kUnavailable, "the manifest can't be confirmed");
      return;
    }
    if (!Authorize(context, *m_view.manifest())) {
      return;
    }
    if (context->job.empty()) {
      if (context->request.kind == JobRequestKind::kQuery) {
        QueryPendingCount(context);
      } else {
        Refuse(context, JobReplyKind::kMalformed, "the path names no job");
      }
    } else if (context->request.kind == JobRequestKind::kSubmit) {
      Submit(context);
    } else if (context->request.kind == JobRequestKind::kCancel) {
      Cancel(context);
    } else {
      QueryState(context);
    }
  });
}

void JobRequestHandler::StartDeadlineTimer(const RequestContextPointer& context) {
  const Milliseconds remaining = context->deadline - m_timers.clock().Now();
  context->deadline_timer = m_timers.After(std::max(remaining, Milliseconds(0)), [this, context] {
    Refuse(context, JobReplyKind::kUnavailable, "the store did not answer in time");
  });
}

bool JobRequestHandler::Authorize(const RequestContextPointer& context,
                                  const FleetManifest& manifest) {
  const QueueSpec* const queue =
      manifest.FindQueueByPath(context->request.host, context->request.path);
  if (queue == nullptr) {
    Refuse(context, JobReplyKind::kNoSuchQueue, "no queue has this host and path");
    return false;
  }
  context->queue = *queue;
  if (queue->needs_key) {
    const ManifestWorkspace* const workspace = manifest.FindWorkspaceByKey(context->request.key);
    if (workspace == nullptr) {
      Refuse(context, JobReplyKind::kBadKey, "the key belongs to no workspace");
      return false;
    }
    context->workspace = workspace->id;
  }
  const std::string job_text = context->request.path.substr(queue->path_prefix.size());
  if (!job_text.empty() && !IsJobId(job_text)) {
    Refuse(context, JobReplyKind::kMalformed, "a job's id has 16 hexadecimal digits");
    return false;
  }
  context->job = JobId(job_text);
  return true;
}

// --- submit ---

void JobRequestHandler::Submit(const RequestContextPointer& context) {
  if (m_timers.clock().Now() >= context->deadline) {
    // The node stood still. The consumer has left, and may have cancelled the job.
    Refuse(context, JobReplyKind::kUnavailable, "the request's time is over");
    return;
  }
  const absl::StatusOr<WorkSpec> work = m_schema.DecodeWork(context->request.body);
  if (!work.ok()) {
    Refuse(context,
           absl::IsUnimplemented(work.status()) ? JobReplyKind::kUnsupported
                                                : JobReplyKind::kMalformed,
           std::string(work.status().message()));
    return;
  }
  if (context->queue.requires_external_placement) {
    Refuse(context, JobReplyKind::kUnsupported, "the queue needs a recommendation service");
    return;
  }
  if (const std::string obstacle = QuotaObstacle(*work, context->workspace); !obstacle.empty()) {
    RefuseUnlessStored(context, obstacle);
    return;
  }
  if (!m_withdrawals.IsWithdrawn(context->job, context->workspace)) {
    CommitSubmission(context, *work);
    return;
  }
  // Another node may have dropped the withdrawal since this one has read it.
  m_store.Read(WithdrawalStore::RecordKey(context->job),
               WhenRead(context, [this, context, work = *work](const ReadAnswer& record) {
                 m_withdrawals.Adopt(context->job, record.items);
                 if (m_withdrawals.IsWithdrawn(context->job, context->workspace)) {
                   RefuseWithdrawn(context);
                 } else {
                   CommitSubmission(context, work);
                 }
               }));
}

std::string JobRequestHandler::QuotaObstacle(const WorkSpec& work,
                                             const WorkspaceId& workspace) const {
  const ManifestWorkspace* const found = m_view.manifest()->FindWorkspace(workspace);
  if (found == nullptr) {
    return "";
  }
  for (std::size_t index = 0; index < work.steps.size(); ++index) {
    if (!found->CanEverRun(work.steps[index])) {
      return "step " + std::to_string(index) + " needs more at once than the quota of workspace " +
             workspace.text() + " allows";
    }
  }
  return "";
}

void JobRequestHandler::RefuseUnlessStored(const RequestContextPointer& context,
                                           const std::string& obstacle) {
  // An earlier send of the submission may be stored, under a manifest with a larger quota. One that
  // is not stored by now fails, as it compares that manifest's revision.
  m_store.Read(AcceptedKey(context->job),
               WhenRead(context, [this, context, obstacle](const ReadAnswer& record) {
                 if (record.items.empty()) {
                   Refuse(context, JobReplyKind::kExceedsQuota, obstacle);
                 } else if (MayAccessRecord(*context, record.items.front())) {
                   Finish(context, JobReply{JobReplyKind::kAccepted, context->job});
                 } else {
                   Refuse(context, JobReplyKind::kIdTaken, "the id is in use");
                 }
               }));
}

void JobRequestHandler::CommitSubmission(const RequestContextPointer& context,
                                         const WorkSpec& work) {
  const QueueSpec& queue = context->queue;
  AcceptedJob job;
  job.id = context->job;
  job.queue = queue.id;
  job.service = queue.service;
  job.workspace = context->workspace;
  job.priority = queue.priority;
  job.max_attempts = queue.max_attempts;
  job.slack_factor = queue.slack_factor;
  job.latency_target = queue.latency_target;
  job.accepted_at = m_timers.clock().WallNow();
  job.work = work;
  Transaction transaction;
  transaction.Expect(AcceptedKey(job.id), Revision(0))
      .Expect(CancelKey(job.id), Revision(0))
      .Expect(m_schema.ManifestKey(), m_view.revision())
      .Put(AcceptedKey(job.id), EncodeAcceptedJob(job))
      .Put(WaitingKey(job.queue, job.id), "");
  m_withdrawals.ExpectNoWithdrawal(job.id, transaction);
  Commit(context, transaction, AcceptedKey(job.id), JobReplyKind::kAccepted);
}

void JobRequestHandler::Commit(const RequestContextPointer& context, const Transaction& transaction,
                               const std::string& written_key, JobReplyKind success) {
  m_timers.Cancel(context->deadline_timer);
  CommitWithRetries(m_timers, m_store, transaction, context->deadline,
                    [this, context, written_key, success](const WriteResult& result) {
                      OnWriteFinished(context, result, written_key, success);
                    });
}

void JobRequestHandler::OnWriteFinished(const RequestContextPointer& context,
                                        const WriteResult& result, const std::string& written_key,
                                        JobReplyKind success) {
  switch (result.outcome) {
    case WriteOutcome::kStored:
      Finish(context, JobReply{success, context->job});
      return;
    case WriteOutcome::kNotSent:
      Refuse(context, JobReplyKind::kUnavailable, "the store can't be reached");
      return;
    case WriteOutcome::kUnclear:
      Refuse(context, JobReplyKind::kUnclear, "the store did not answer");
      return;
    case WriteOutcome::kConflict:
      break;
  }
  const StoreItem* const written = FindItem(result.items, written_key);
  if (written != nullptr && success == JobReplyKind::kAccepted &&
      !MayAccessRecord(*context, *written)) {
    Refuse(context, JobReplyKind::kIdTaken, "the id is in use");
    return;
  }
  if (written != nullptr) {
    // Another request, or an earlier send of this write, has created the key.
    Finish(context, JobReply{success, context->job});
    return;
  }
  if (FindItem(result.items, CancelKey(context->job)) != nullptr) {
    RefuseWithdrawn(context);
    return;
  }
  m_withdrawals.Adopt(context->job, result.items);
  if (m_withdrawals.IsWithdrawn(context->job, context->workspace)) {
    RefuseWithdrawn(context);
    return;
  }
  DispatchAfterConflict(context, result.items);
}

void JobRequestHandler::DispatchAfterConflict(const RequestContextPointer& context,
                                              const std::vector<StoreItem>& items) {
  if (const StoreItem* const manifest = FindItem(items, m_schema.ManifestKey())) {
    m_view.Adopt(*manifest);
  }
  if (context->dispatches >= kMaxDispatches || m_timers.clock().Now() >= context->deadline) {
    Refuse(context, JobReplyKind::kUnavailable, "what the write compares changes too fast");
    return;
  }
  Dispatch(context);
}

// --- query ---

std::function<void(ReadAnswer)> JobRequestHandler::WhenRead(
    const RequestContextPointer& context, std::function<void(const ReadAnswer&)> handle) {
  return [this, context, handle = std::move(handle)](const ReadAnswer& answer) {
    if (context->is_answered) {
      return;
    }
    if (answer.result == ReadResult::kOk) {
      handle(answer);
    } else {
      RetryFailedRead(context);
    }
  };
}

void JobRequestHandler::RetryFailedRead(const RequestContextPointer& context) {
  const Milliseconds delay = kFirstReadRetryDelay * (1 << (context->dispatches - 1));
  if (context->dispatches >= kMaxDispatches ||
      m_timers.clock().Now() + delay >= context->deadline) {
    Refuse(context, JobReplyKind::kUnavailable, "the store can't be read");
    return;
  }
  m_timers.Cancel(context->deadline_timer);
  m_timers.After(delay, [this, context] { Dispatch(context); });
}

void JobRequestHandler::QueryPendingCount(const RequestContextPointer& context) {
  m_store.ReadAll(WaitingPrefix(context->queue.id),
                  WhenRead(context, [this, context](const ReadAnswer& answer) {
                    JobReply reply{JobReplyKind::kPending};
                    reply.pending = static_cast<std::int64_t>(answer.items.size());
                    Finish(context, reply);
                  }));
}

void JobRequestHandler::QueryState(const RequestContextPointer& context) {
  m_store.ReadAll(
      AcceptedKey(context->job), WhenRead(context, [this, context](const ReadAnswer& accepted) {
        const StoreItem* const job = FindItem(accepted.items, AcceptedKey(context->job));
        if (job == nullptr || !MayAccessRecord(*context, *job)) {
          Refuse(context, JobReplyKind::kNoSuchJob, "no such job");
          return;
        }
        ReplyWithState(context, accepted);
      }));
}

void JobRequestHandler::ReplyWithState(const RequestContextPointer& context,
                                       const ReadAnswer& accepted) {
  const bool is_cancelled = FindItem(accepted.items, CancelKey(context->job)) != nullptr;
  m_store.Read(ProgressKey(context->job),
               WhenRead(context, [this, context, is_cancelled](const ReadAnswer& progress) {
                 JobReply reply{JobReplyKind::kState, context->job};
                 if (!progress.items.empty()) {
                   const absl::StatusOr<WorkState> state =
                       DecodeWorkState(progress.items.front().value);
                   if (!state.ok()) {
                     Refuse(context, JobReplyKind::kUnavailable, "the job's record can't be read");
                     return;
                   }
                   reply.state = *state;
                 }
                 if (is_cancelled && !HasEnded(reply.state)) {
                   reply.state = WorkState::kCancelled;
                 }
                 Finish(context, reply);
               }));
}

// --- cancel ---

bool JobRequestHandler::MayAccessRecord(const RequestContext& context, const StoreItem& accepted) {
  const absl::StatusOr<AcceptedJob> job = DecodeAcceptedJob(accepted.value);
  return !job.ok() || MayAccess(*job, context.workspace, context.queue);
}

void JobRequestHandler::Cancel(const RequestContextPointer& context) {
  m_store.ReadAll(
      AcceptedKey(context->job), WhenRead(context, [this, context](const ReadAnswer& accepted) {
        const StoreItem* const job = FindItem(accepted.items, AcceptedKey(context->job));
        if (job == nullptr || !MayAccessRecord(*context, *job)) {
          Withdraw(context, job == nullptr ? Revision(0) : job->revision);
        } else if (FindItem(accepted.items, CancelKey(context->job)) != nullptr) {
          Finish(context, JobReply{JobReplyKind::kCancelled, context->job});
        } else {
          CommitCancellation(context, *job);
        }
      }));
}

void JobRequestHandler::CommitCancellation(const RequestContextPointer& context,
                                           const StoreItem& accepted) {
  const absl::StatusOr<AcceptedJob> job = DecodeAcceptedJob(accepted.value);
  const QueueId queue = job.ok() ? job->queue : context->queue.id;
  Transaction transaction;
  transaction.Expect(AcceptedKey(context->job), accepted.revision)
      .Expect(CancelKey(context->job), Revision(0))
      .Expect(m_schema.ManifestKey(), m_view.revision())
      .Put(CancelKey(context->job), "")
      .Delete(WaitingKey(queue, context->job));
  Commit(context, transaction, CancelKey(context->job), JobReplyKind::kCancelled);
}

void JobRequestHandler::Withdraw(const RequestContextPointer& context, Revision accepted) {
  if (!context->is_withdrawal_admitted) {
    const std::optional<Milliseconds> wait =
        m_withdrawal_limiter.Admit(context->workspace, m_timers.clock().Now());
    if (wait.has_value()) {
      RefuseWithdrawal(context, *wait);
      return;
    }
    context->is_withdrawal_admitted = true;
  }
  Transaction transaction;
  transaction.Expect(AcceptedKey(context->job), accepted)
      .Expect(m_schema.ManifestKey(), m_view.revision());
  m_timers.Cancel(context->deadline_timer);
  // NOTE: an earlier withdrawal is written again: it would end sooner than this one has to be kept.
  m_withdrawals.Withdraw(
      context->job, context->workspace, std::move(transaction), context->deadline,
      [this, context](const WithdrawalStore::Result& result) { OnWithdrawn(context, result); });
}

void JobRequestHandler::OnWithdrawn(const RequestContextPointer& context,
                                    const WithdrawalStore::Result& result) {
  switch (result.outcome) {
    case WithdrawalStore::Outcome::kStored:
      Finish(context, JobReply{JobReplyKind::kNoSuchJob, context->job});
      return;
    case WithdrawalStore::Outcome::kConflict:
      DispatchAfterConflict(context, result.items);
      return;
    case WithdrawalStore::Outcome::kNotSent:
      Refuse(context, JobReplyKind::kUnavailable, "the store can't be reached");
      return;
    case WithdrawalStore::Outcome::kUnclear:
      Refuse(context, JobReplyKind::kUnclear, "the store did not answer");
      return;
    case WithdrawalStore::Outcome::kFull:
      RefuseWithdrawal(context, result.retry_after);
      return;
  }
}

void JobRequestHandler::RefuseWithdrawal(const RequestContextPointer& context,
                                         Milliseconds retry_after) {
  m_metrics.Increment("papayalift_withdrawals_refused_total");
  JobReply reply{JobReplyKind::kTooManyCancellations, context->job};
  reply.detail = "too many jobs that are not stored were cancelled";
  reply.retry_after = retry_after;
  Finish(context, std::move(reply));
}

// --- replies ---

void JobRequestHandler::Refuse(const RequestContextPointer& context, JobReplyKind kind,
                               const std::string& detail) {
  JobReply reply{kind, context->job};
  reply.detail = detail;
  Finish(context, std::move(reply));
}

void JobRequestHandler::RefuseWithdrawn(const RequestContextPointer& context) {
  Refuse(context, JobReplyKind::kWithdrawn, "the job was cancelled before it was stored");
}

void JobRequestHandler::Finish(const RequestContextPointer& context, JobReply reply) {
  context->is_answered = true;
  m_timers.Cancel(context->deadline_timer);
  const std::string kind = EnumText(kReplyNames, reply.kind);
  const std::string request = EnumText(kRequestNames, context->request.kind);
  const Milliseconds duration = m_timers.clock().Now() - context->arrived_at;
  m_metrics.Increment("papayalift_requests_total{request=\"" + request + "\",reply=\"" + kind +
                      "\"}");
  m_metrics.Observe("papayalift_request_ms{request=\"" + request + "\"}",
                    static_cast<double>(duration.count()));
  const std::shared_ptr<const FleetManifest> manifest = m_view.manifest();
  LogEvent(LogLevel::kInfo, "job_requests", "request answered")
      .Job(context->job)
      .Field("request", request)
      .Field("reply", kind)
      .Field("queue", context->queue.id.text())
      .Field("state", reply.kind == JobReplyKind::kState ? WorkStateText(reply.state) : "")
      .Field("manifest", manifest == nullptr ? 0 : manifest->version.value())
      .Field("manifest_age_ms", manifest == nullptr ? -1 : m_view.age().count())
      .Field("took_ms", duration.count())
      .Reason(reply.detail)
      .Write();
  context->reply(std::move(reply));
}

}  // namespace papayalift
