#include "libraries/node/gang_cancel.h"

#include <utility>

#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"

namespace papayalift {

std::shared_ptr<GangCancel> GangCancel::Create(const GangContext& context, JobId job) {
  return std::shared_ptr<GangCancel>(new GangCancel(context, std::move(job)));
}

GangCancel::GangCancel(const GangContext& context, JobId job)
    : m_context(context), m_job(std::move(job)) {}

StepResult GangCancel::Step() {
  const std::string job_key = keys::JobKey(m_job);
  const absl::StatusOr<RangeAnswer> answer = m_context.store.Range(SingleKey(job_key));
  if (!answer.ok() || answer->records.empty()) {
    return kStepDone;
  }
  const KeyValue& record = answer->records.front();
  absl::StatusOr<JobRecord> job = DecodeJob(record.value);
  const bool waits =
      job.ok() && job->state == JobState::kQueued && job->cancel == CancelRequest::kRequested;
  if (!waits) {
    return kStepDone;
  }
  job->state = JobState::kCancelled;
  job->reason = "cancelled by its caller while it waited";
  job->finished_at = m_context.clock.WallNow();
  Transaction transaction;
  transaction.Expect(job_key, record.modified).Put(job_key, EncodeJob(*job));
  m_context.audit.Add(transaction, "", "job cancelled", job_key, job->reason);
  // The outcome is ignored: if the job is still queued, the next pass tries again.
  m_context.store.Commit(transaction);
  return kStepDone;
}

}  // namespace papayalift
