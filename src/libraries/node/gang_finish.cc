#include "libraries/node/gang_finish.h"

#include <utility>

#include "libraries/log/log_event.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/node/gang_records.h"

namespace papayalift {

namespace {

constexpr StepResult kStepLater{StepKind::kAgain, Milliseconds(250)};

}  // namespace

std::shared_ptr<GangFinish> GangFinish::Create(const GangContext& context, JobId job, ZoneId zone,
                                               AttemptId attempt) {
  return std::shared_ptr<GangFinish>(
      new GangFinish(context, std::move(job), std::move(zone), std::move(attempt)));
}

GangFinish::GangFinish(const GangContext& context, JobId job, ZoneId zone, AttemptId attempt)
    : m_context(context),
      m_job(std::move(job)),
      m_zone(std::move(zone)),
      m_attempt(std::move(attempt)) {}

StepResult GangFinish::Step() {
  const absl::StatusOr<GangRecords> records = ReadGang(m_context.store, m_job, m_zone);
  if (!records.ok()) {
    return kStepLater;
  }
  const bool superseded =
      !records->job || !records->placement || records->placement->value.attempt_id != m_attempt;
  if (superseded) {
    return kStepDone;
  }
  JobRecord job = records->job->value;
  job.state = JobState::kSucceeded;
  job.verdict = Verdict::kRan;
  job.reason = "all its tasks succeeded";
  job.finished_at = m_context.clock.WallNow();
  job.attained += job.finished_at - job.started_at;
  const std::string placement_key = keys::PlacementKey(m_zone, m_job);
  const std::string job_key = keys::JobKey(m_job);
  Transaction transaction;
  transaction.Expect(placement_key, records->placement->modified)
      .Expect(job_key, records->job->modified)
      .Delete(placement_key)
      .Put(job_key, EncodeJob(job));
  m_context.audit.Add(transaction, "", "job succeeded", job_key, job.reason);
  if (m_context.store.Commit(transaction).result != TransactionResult::kApplied) {
    return kStepLater;
  }
  const Milliseconds completion = job.finished_at - job.submitted_at;
  m_context.metrics.Observe("papayalift_job_completion_ms",
                            static_cast<double>(completion.count()));
  m_context.metrics.Increment("papayalift_jobs_succeeded_total");
  LogEvent(LogLevel::kInfo, "gang_finish", "job succeeded")
      .Job(m_job)
      .Attempt(m_attempt)
      .Zone(m_zone)
      .Field("completion_ms", completion.count())
      .Write();
  return kStepDone;
}

}  // namespace papayalift
