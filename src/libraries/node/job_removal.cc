#include "libraries/node/job_removal.h"

#include <utility>

#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"

namespace papayalift {

std::shared_ptr<JobRemoval> JobRemoval::Create(const GangContext& context, JobId job,
                                               Milliseconds retention) {
  return std::shared_ptr<JobRemoval>(new JobRemoval(context, std::move(job), retention));
}

JobRemoval::JobRemoval(const GangContext& context, JobId job, Milliseconds retention)
    : m_context(context), m_job(std::move(job)), m_retention(retention) {}

StepResult JobRemoval::Step() {
  const std::string key = keys::JobKey(m_job);
  const absl::StatusOr<RangeAnswer> answer = m_context.store.Range(SingleKey(key));
  if (!answer.ok() || answer->records.empty()) {
    return kStepDone;
  }
  const KeyValue& record = answer->records.front();
  const absl::StatusOr<JobRecord> job = DecodeJob(record.value);
  const bool expired = job.ok() && IsFinal(job->state) &&
                       m_context.clock.WallNow() - job->finished_at >= m_retention;
  if (!expired) {
    return kStepDone;
  }
  Transaction transaction;
  transaction.Expect(key, record.modified).Delete(key);
  m_context.audit.Add(transaction, "", "job removed", key, "it ended long ago");
  // The outcome is ignored: if the job is still there, a later sweep tries again.
  m_context.store.Commit(transaction);
  return kStepDone;
}

}  // namespace papayalift
