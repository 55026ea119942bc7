#include "libraries/node/job_manager.h"

#include "libraries/base/try.h"
#include "libraries/decisions/feasibility.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"

namespace papayalift {

namespace {

constexpr int kReadBackTries = 3;
constexpr int kCancelTries = 5;

absl::Status CancelUnclear() {
  return absl::UnknownError("the job may have been cancelled; read its status to find out");
}

}  // namespace

JobManager::JobManager(const Clock& clock, KeyValueService& store, const FleetState& state,
                       AuditWriter& audit)
    : m_clock(clock), m_store(store), m_state(state), m_audit(audit) {}

absl::StatusOr<SubmitResult> JobManager::Submit(const JobSpec& spec) {
  TRY(CheckJobSpec(spec));
  const std::shared_ptr<const FleetView> view = m_state.View();
  if (view->bundle == nullptr) {
    return absl::UnavailableError("no bundle is in force yet");
  }
  JobRecord job;
  job.id = JobIdOf(spec.workspace, spec.key);
  const auto existing = view->jobs.find(job.id);
  if (existing != view->jobs.end()) {
    return ExistingJob(spec, existing->second->value);
  }
  if (const std::optional<std::string> reason = InfeasibilityReason(spec, view->bundle->bundle)) {
    return absl::FailedPreconditionError("the job can never run: " + *reason);
  }
  job.spec = spec;
  job.submitted_at = m_clock.WallNow();
  job.queued_at = job.submitted_at;
  job.reason = "it waits for its first pass";
  const std::string key = keys::JobKey(job.id);
  Transaction transaction;
  transaction.Expect(key, Revision(0)).Put(key, EncodeJob(job));
  m_audit.Add(transaction, spec.workspace.text(), "job submit", key, "");
  const TransactionOutcome outcome = m_store.Commit(transaction);
  switch (outcome.result) {
    case TransactionResult::kApplied:
      return SubmitResult{job, Acceptance::kNew};
    case TransactionResult::kNotSent:
      return absl::UnavailableError("the key-value service can't be reached");
    case TransactionResult::kConflict:
    case TransactionResult::kUnclear:
      return ReadBack(spec, job);
  }
  return absl::InternalError("unreachable");
}

absl::StatusOr<SubmitResult> JobManager::ExistingJob(const JobSpec& spec,
                                                     const JobRecord& existing) const {
  if (existing.spec != spec) {
    return absl::AbortedError(
        "the key belongs to a job that was submitted with another specification");
  }
  return SubmitResult{existing, Acceptance::kExisting};
}

absl::StatusOr<SubmitResult> JobManager::ReadBack(const JobSpec& spec, const JobRecord& written) {
  for (int tries = 0; tries < kReadBackTries; ++tries) {
    const absl::StatusOr<JobRecord> found = Read(written.id);
    if (found.ok()) {
      absl::StatusOr<SubmitResult> answer = ExistingJob(spec, *found);
      if (answer.ok() && found->submitted_at == written.submitted_at) {
        answer->acceptance = Acceptance::kNew;
      }
      return answer;
    }
  }
  return absl::UnknownError(
      "the job may have been accepted; submit it again with the same key to find out");
}

absl::StatusOr<JobRecord> JobManager::Read(const JobId& id) {
  const RangeAnswer answer = TRY(m_store.Range(SingleKey(keys::JobKey(id))));
  if (answer.records.empty()) {
    return absl::NotFoundError("there is no such job");
  }
  return DecodeJob(answer.records.front().value);
}

absl::StatusOr<JobRecord> JobManager::Cancel(const JobId& id) {
  const std::string key = keys::JobKey(id);
  bool sent = false;
  for (int tries = 0; tries < kCancelTries; ++tries) {
    const absl::StatusOr<RangeAnswer> answer = m_store.Range(SingleKey(key));
    if (!answer.ok()) {
      return sent ? CancelUnclear() : answer.status();
    }
    if (answer->records.empty()) {
      return absl::NotFoundError("there is no such job");
    }
    JobRecord job = TRY(DecodeJob(answer->records.front().value));
    if (IsFinal(job.state) || job.cancel == CancelRequest::kRequested) {
      return job;
    }
    job.cancel = CancelRequest::kRequested;
    if (job.state == JobState::kQueued) {
      job.state = JobState::kCancelled;
      job.reason = "cancelled by its caller while it waited";
      job.finished_at = m_clock.WallNow();
    }
    Transaction transaction;
    transaction.Expect(key, answer->records.front().modified).Put(key, EncodeJob(job));
    m_audit.Add(transaction, job.spec.workspace.text(), "job cancel", key, "");
    const TransactionResult result = m_store.Commit(transaction).result;
    if (result == TransactionResult::kApplied) {
      return job;
    }
    if (result == TransactionResult::kNotSent) {
      return sent ? CancelUnclear()
                  : absl::UnavailableError("the key-value service can't be reached");
    }
    sent = sent || result == TransactionResult::kUnclear;
  }
  return CancelUnclear();
}

}  // namespace papayalift
