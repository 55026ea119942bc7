#include "libraries/front_desk/front_desk.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "libraries/base/enum_names.h"
#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// A manifest confirmed longer ago is confirmed again before a request is judged by it.
constexpr Milliseconds kFreshView{300};
/// Kept back of a request's budget for the way of the answer.
constexpr Milliseconds kAnswerMargin{200};
/// A request meets a changed manifest this often at most.
constexpr int kMostRounds = 5;
constexpr std::size_t kJobIdLength = 16;

constexpr std::array<EnumName<JobReplyKind>, 11> kReplyNames{
    {{JobReplyKind::kAccepted, "accepted"},
     {JobReplyKind::kState, "state"},
     {JobReplyKind::kPending, "pending"},
     {JobReplyKind::kCancelled, "cancelled"},
     {JobReplyKind::kNoSuchQueue, "no such queue"},
     {JobReplyKind::kNoSuchJob, "no such job"},
     {JobReplyKind::kBadKey, "bad key"},
     {JobReplyKind::kMalformed, "malformed"},
     {JobReplyKind::kUnsupported, "unsupported"},
     {JobReplyKind::kUnavailable, "unavailable"},
     {JobReplyKind::kUnclear, "unclear"}}};

constexpr std::array<EnumName<JobRequestKind>, 3> kRequestNames{
    {{JobRequestKind::kSubmit, "submit"},
     {JobRequestKind::kAsk, "ask"},
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

FrontDesk::FrontDesk(Timers& timers, StorePort& store, const FleetSchema& directory,
                     ManifestView& view, Metrics& metrics)
    : m_timers(timers), m_store(store), m_directory(directory), m_view(view), m_metrics(metrics) {}

void FrontDesk::Handle(JobRequest request, JobReplyCallback reply) {
  const ExchangePointer exchange = std::make_shared<Exchange>();
  exchange->arrived_at = m_timers.clock().Now();
  exchange->deadline = exchange->arrived_at + request.budget - kAnswerMargin;
  exchange->request = std::move(request);
  exchange->reply = std::move(reply);
  // For the log, also where the request is refused before its queue is known.
  const std::string& path = exchange->request.path;
  const std::string last = path.substr(path.rfind('/') + 1);
  exchange->job = JobId(IsJobId(last) ? last : "");
  Route(exchange);
}

void FrontDesk::Route(const ExchangePointer& exchange) {
  ++exchange->rounds;
  m_view.Confirm(kFreshView, [this, exchange](Freshness freshness) {
    if (freshness == Freshness::kUnknown) {
      Refuse(exchange, JobReplyKind::kUnavailable, "the manifest can't be confirmed");
      return;
    }
    if (!Authorize(exchange, *m_view.manifest())) {
      return;
    }
    if (exchange->job.empty()) {
      if (exchange->request.kind == JobRequestKind::kAsk) {
        AskPending(exchange);
      } else {
        Refuse(exchange, JobReplyKind::kMalformed, "the path names no job");
      }
    } else if (exchange->request.kind == JobRequestKind::kSubmit) {
      Submit(exchange);
    } else if (exchange->request.kind == JobRequestKind::kCancel) {
      Cancel(exchange);
    } else {
      Ask(exchange);
    }
  });
}

bool FrontDesk::Authorize(const ExchangePointer& exchange, const FleetManifest& manifest) {
  const QueueSpec* const queue =
      manifest.FindQueueByPath(exchange->request.host, exchange->request.path);
  if (queue == nullptr) {
    Refuse(exchange, JobReplyKind::kNoSuchQueue, "no queue has this host and path");
    return false;
  }
  exchange->queue = *queue;
  if (queue->needs_key) {
    const ManifestWorkspace* const workspace = manifest.FindWorkspaceByKey(exchange->request.key);
    if (workspace == nullptr) {
      Refuse(exchange, JobReplyKind::kBadKey, "the key belongs to no workspace");
      return false;
    }
    exchange->workspace = workspace->id;
  }
  const std::string rest = exchange->request.path.substr(queue->path_prefix.size());
  if (!rest.empty() && !IsJobId(rest)) {
    Refuse(exchange, JobReplyKind::kMalformed, "a job's id has 16 hexadecimal digits");
    return false;
  }
  exchange->job = JobId(rest);
  return true;
}

// --- submit ---

void FrontDesk::Submit(const ExchangePointer& exchange) {
  const absl::StatusOr<WorkSpec> work = m_directory.DecodeWork(exchange->request.body);
  if (!work.ok()) {
    Refuse(exchange,
           absl::IsUnimplemented(work.status()) ? JobReplyKind::kUnsupported
                                                : JobReplyKind::kMalformed,
           std::string(work.status().message()));
    return;
  }
  const QueueSpec& queue = exchange->queue;
  if (queue.requires_external_placement) {
    Refuse(exchange, JobReplyKind::kUnsupported, "the queue needs a recommendation service");
    return;
  }
  AcceptedJob job;
  job.id = exchange->job;
  job.queue = queue.id;
  job.service = queue.service;
  job.workspace = exchange->workspace;
  job.priority = queue.priority;
  job.max_attempts = queue.max_attempts;
  job.slack_factor = queue.slack_factor;
  job.latency_target = queue.latency_target;
  job.accepted_at = m_timers.clock().WallNow();
  job.work = *work;
  Transaction transaction;
  transaction.Expect(AcceptedKey(job.id), Revision(0))
      .Expect(m_directory.ManifestKey(), m_view.revision())
      .Put(AcceptedKey(job.id), EncodeAcceptedJob(job))
      .Put(WaitingKey(job.queue, job.id), "");
  CommitClearly(m_timers, m_store, transaction, exchange->deadline,
                [this, exchange](const WriteResult& result) {
                  OnWritten(exchange, result, AcceptedKey(exchange->job), JobReplyKind::kAccepted);
                });
}

void FrontDesk::OnWritten(const ExchangePointer& exchange, const WriteResult& result,
                          const std::string& own_key, JobReplyKind done) {
  switch (result.outcome) {
    case WriteOutcome::kStored:
      Finish(exchange, JobReply{done, exchange->job});
      return;
    case WriteOutcome::kNotSent:
      Refuse(exchange, JobReplyKind::kUnavailable, "the store can't be reached");
      return;
    case WriteOutcome::kUnclear:
      Refuse(exchange, JobReplyKind::kUnclear, "the store did not answer");
      return;
    case WriteOutcome::kConflict:
      break;
  }
  if (FindItem(result.items, own_key) != nullptr) {
    // Somebody, or an earlier send of the same write, was first.
    Finish(exchange, JobReply{done, exchange->job});
    return;
  }
  if (const StoreItem* const manifest = FindItem(result.items, m_directory.ManifestKey())) {
    m_view.Adopt(*manifest);
  }
  if (exchange->rounds >= kMostRounds) {
    Refuse(exchange, JobReplyKind::kUnavailable, "the manifest changes too fast");
    return;
  }
  Route(exchange);
}

// --- ask ---

void FrontDesk::AskPending(const ExchangePointer& exchange) {
  m_store.ReadAll(WaitingPrefix(exchange->queue.id), [this, exchange](const ReadAnswer& answer) {
    if (answer.result != ReadResult::kOk) {
      Refuse(exchange, JobReplyKind::kUnavailable, "the store can't be read");
      return;
    }
    JobReply reply{JobReplyKind::kPending};
    reply.pending = static_cast<std::int64_t>(answer.items.size());
    Finish(exchange, reply);
  });
}

void FrontDesk::Ask(const ExchangePointer& exchange) {
  m_store.ReadAll(AcceptedKey(exchange->job), [this, exchange](const ReadAnswer& accepted) {
    if (accepted.result != ReadResult::kOk) {
      Refuse(exchange, JobReplyKind::kUnavailable, "the store can't be read");
      return;
    }
    if (FindItem(accepted.items, AcceptedKey(exchange->job)) == nullptr) {
      Refuse(exchange, JobReplyKind::kNoSuchJob, "no such job");
      return;
    }
    OnFound(exchange, accepted);
  });
}

void FrontDesk::OnFound(const ExchangePointer& exchange, const ReadAnswer& accepted) {
  const bool is_cancelled = FindItem(accepted.items, CancelKey(exchange->job)) != nullptr;
  m_store.Read(
      ProgressKey(exchange->job), [this, exchange, is_cancelled](const ReadAnswer& progress) {
        if (progress.result != ReadResult::kOk) {
          Refuse(exchange, JobReplyKind::kUnavailable, "the store can't be read");
          return;
        }
        JobReply reply{JobReplyKind::kState, exchange->job};
        if (!progress.items.empty()) {
          const absl::StatusOr<WorkState> state = DecodeWorkState(progress.items.front().value);
          if (!state.ok()) {
            Refuse(exchange, JobReplyKind::kUnavailable, "the job's record can't be read");
            return;
          }
          reply.state = *state;
        }
        if (is_cancelled && !HasEnded(reply.state)) {
          reply.state = WorkState::kCancelled;
        }
        Finish(exchange, reply);
      });
}

// --- cancel ---

void FrontDesk::Cancel(const ExchangePointer& exchange) {
  m_store.ReadAll(AcceptedKey(exchange->job), [this, exchange](const ReadAnswer& accepted) {
    if (accepted.result != ReadResult::kOk) {
      Refuse(exchange, JobReplyKind::kUnavailable, "the store can't be read");
      return;
    }
    const StoreItem* const job = FindItem(accepted.items, AcceptedKey(exchange->job));
    if (job == nullptr) {
      Refuse(exchange, JobReplyKind::kNoSuchJob, "no such job");
    } else if (FindItem(accepted.items, CancelKey(exchange->job)) != nullptr) {
      Finish(exchange, JobReply{JobReplyKind::kCancelled, exchange->job});
    } else {
      WriteCancel(exchange, *job);
    }
  });
}

void FrontDesk::WriteCancel(const ExchangePointer& exchange, const StoreItem& accepted) {
  const absl::StatusOr<AcceptedJob> job = DecodeAcceptedJob(accepted.value);
  const QueueId queue = job.ok() ? job->queue : exchange->queue.id;
  Transaction transaction;
  transaction.Expect(AcceptedKey(exchange->job), accepted.revision)
      .Expect(CancelKey(exchange->job), Revision(0))
      .Expect(m_directory.ManifestKey(), m_view.revision())
      .Put(CancelKey(exchange->job), "")
      .Delete(WaitingKey(queue, exchange->job));
  CommitClearly(m_timers, m_store, transaction, exchange->deadline,
                [this, exchange](const WriteResult& result) {
                  OnWritten(exchange, result, CancelKey(exchange->job), JobReplyKind::kCancelled);
                });
}

// --- answers ---

void FrontDesk::Refuse(const ExchangePointer& exchange, JobReplyKind kind,
                       const std::string& detail) {
  JobReply reply{kind, exchange->job};
  reply.detail = detail;
  Finish(exchange, std::move(reply));
}

void FrontDesk::Finish(const ExchangePointer& exchange, JobReply reply) {
  const std::string kind = EnumText(kReplyNames, reply.kind);
  const std::string request = EnumText(kRequestNames, exchange->request.kind);
  const Milliseconds took = m_timers.clock().Now() - exchange->arrived_at;
  m_metrics.Count("papayalift_requests_total{request=\"" + request + "\",reply=\"" + kind + "\"}");
  m_metrics.Observe("papayalift_request_ms{request=\"" + request + "\"}",
                    static_cast<double>(took.count()));
  const std::shared_ptr<const FleetManifest> manifest = m_view.manifest();
  LogEvent(LogLevel::kInfo, "desk", "request answered")
      .Job(exchange->job)
      .Field("request", request)
      .Field("reply", kind)
      .Field("queue", exchange->queue.id.text())
      .Field("state", reply.kind == JobReplyKind::kState ? WorkStateText(reply.state) : "")
      .Field("manifest", manifest == nullptr ? 0 : manifest->version.value())
      .Field("manifest_age_ms", manifest == nullptr ? -1 : m_view.age().count())
      .Field("took_ms", took.count())
      .Reason(reply.detail)
      .Write();
  exchange->reply(std::move(reply));
}

}  // namespace papayalift
