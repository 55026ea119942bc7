/// Handles the requests of consumers on any node: submits, cancels and queries jobs in the store.
#pragma once

#include <memory>

#include "libraries/job_requests/commit_with_retries.h"
#include "libraries/job_requests/job_request.h"
#include "libraries/job_requests/withdrawal_limiter.h"
#include "libraries/job_requests/withdrawal_store.h"
#include "libraries/leader/manifest_view.h"
#include "libraries/loop/timers.h"
#include "libraries/metrics/metrics.h"
#include "libraries/work/fleet_schema.h"
#include "libraries/work/store_port.h"

namespace papayalift {

class JobRequestHandler {
 public:
  JobRequestHandler(Timers& timers, StorePort& store, const FleetSchema& schema, ManifestView& view,
                    Metrics& metrics, const WithdrawalLimits& withdrawal_limits = {});

  /// Calls `reply` exactly once, before the request's budget is spent.
  void Handle(JobRequest request, JobReplyCallback reply);

 private:
  /// A request in progress, with what has been resolved of it so far.
  struct RequestContext {
    JobRequest request;
    JobReplyCallback reply;
    Milliseconds arrived_at{0};
    Milliseconds deadline{0};
    QueueSpec queue;
    WorkspaceId workspace;
    JobId job;
    int dispatches = 0;
    bool is_withdrawal_admitted = false;
    TimerId deadline_timer = 0;
    bool is_answered = false;
  };
  using RequestContextPointer = std::shared_ptr<RequestContext>;

  void Dispatch(const RequestContextPointer& context);
  /// Refuses the request at its deadline, unless it is answered before or a write begins, whose own
  /// deadline then applies.
  void StartDeadlineTimer(const RequestContextPointer& context);
  void Commit(const RequestContextPointer& context, const Transaction& transaction,
              const std::string& written_key, JobReplyKind success);
  bool Authorize(const RequestContextPointer& context, const FleetManifest& manifest);
  void Submit(const RequestContextPointer& context);
  /// Why the job can never run under the quota of its workspace; empty if it can.
  std::string QuotaObstacle(const WorkSpec& work, const WorkspaceId& workspace) const;
  /// Refuses a job that can never run, unless it is stored already.
  void RefuseUnlessStored(const RequestContextPointer& context, const std::string& obstacle);
  void CommitSubmission(const RequestContextPointer& context, const WorkSpec& work);
  void RefuseWithdrawn(const RequestContextPointer& context);
  /// Replies to a write that creates `written_key`, or dispatches the request again if what it
  /// compared has changed. Replies with `success` also if `written_key` existed before.
  void OnWriteFinished(const RequestContextPointer& context, const WriteResult& result,
                       const std::string& written_key, JobReplyKind success);
  /// The callback of a read: retries the request if the read has failed, and has no effect if the
  /// request was answered in the meantime.
  std::function<void(ReadAnswer)> WhenRead(const RequestContextPointer& context,
                                           std::function<void(const ReadAnswer&)> handle);
  /// Dispatches the request again after a pause, or refuses it if its deadline is too near. The
  /// manifest is confirmed again, which fails soon if the store is unreachable.
  void RetryFailedRead(const RequestContextPointer& context);
  void QueryState(const RequestContextPointer& context);
  void QueryPendingCount(const RequestContextPointer& context);
  void Cancel(const RequestContextPointer& context);
  void ReplyWithState(const RequestContextPointer& context, const ReadAnswer& accepted);
  /// Whether the consumer may access the job of the accepted record. One that can't be decoded is
  /// not refused.
  static bool MayAccessRecord(const RequestContext& context, const StoreItem& accepted);
  void CommitCancellation(const RequestContextPointer& context, const StoreItem& accepted);
  /// Stores the cancellation of a job that is not stored, or not one of the consumer's. A
  /// submission of it may still be under way, in a late write or a paused node, and must not be
  /// stored after the cancellation is answered. `accepted` is the revision of the accepted record,
  /// 0 for none.
  void Withdraw(const RequestContextPointer& context, Revision accepted);
  void OnWithdrawn(const RequestContextPointer& context, const WithdrawalStore::Result& result);
  void RefuseWithdrawal(const RequestContextPointer& context, Milliseconds retry_after);
  /// Dispatches the request again, since what its write compared has changed.
  void DispatchAfterConflict(const RequestContextPointer& context,
                             const std::vector<StoreItem>& items);
  void Finish(const RequestContextPointer& context, JobReply reply);
  void Refuse(const RequestContextPointer& context, JobReplyKind kind, const std::string& detail);

  Timers& m_timers;
  StorePort& m_store;
  const FleetSchema& m_schema;
  ManifestView& m_view;
  Metrics& m_metrics;
  WithdrawalLimiter m_withdrawal_limiter;
  WithdrawalStore m_withdrawals;
};

}  // namespace papayalift
