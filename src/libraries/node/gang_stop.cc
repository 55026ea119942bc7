#include "libraries/node/gang_stop.h"

#include <algorithm>
#include <utility>

#include "libraries/log/log_event.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/placement_codec.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRetryInterval{250};
/// How much slower than the node's clock a worker's clock may run, in percent.
constexpr int kClockRateMarginPercent = 5;
constexpr StepResult kStepLater{StepKind::kAgain, kRetryInterval};

}  // namespace

std::shared_ptr<GangStop> GangStop::Create(const GangContext& context, StopPlan plan) {
  return std::shared_ptr<GangStop>(new GangStop(context, std::move(plan)));
}

GangStop::GangStop(const GangContext& context, StopPlan plan)
    : m_context(context), m_plan(std::move(plan)), m_unconfirmed(m_plan.shares) {}

StepResult GangStop::Step() {
  switch (m_phase) {
    case Phase::kMarkStopping:
      return MarkStopping();
    case Phase::kStopWorkers:
      return StopWorkers();
    case Phase::kFinalize:
      return Finalize();
  }
  return kStepDone;
}

StepResult GangStop::MarkStopping() {
  const absl::StatusOr<GangRecords> records = ReadGang(m_context.store, m_plan.job, m_plan.zone);
  if (!records.ok()) {
    return kStepLater;
  }
  const bool superseded = !records->job || !records->placement ||
                          records->placement->value.attempt_id != m_plan.attempt;
  if (superseded) {
    return kStepDone;
  }
  if (records->placement->value.phase != PlacementPhase::kStopping) {
    PlacementRecord placement = records->placement->value;
    placement.phase = PlacementPhase::kStopping;
    placement.start_sent = records->placement->value.phase == PlacementPhase::kReserved
                               ? StartSent::kNo
                               : StartSent::kMaybe;
    placement.after_stop = m_plan.after_stop;
    placement.stop_reason = m_plan.reason;
    JobRecord job = records->job->value;
    job.state = JobState::kStopping;
    job.reason = m_plan.reason;
    const std::string placement_key = keys::PlacementKey(m_plan.zone, m_plan.job);
    const std::string job_key = keys::JobKey(m_plan.job);
    Transaction transaction;
    transaction.Expect(placement_key, records->placement->modified)
        .Expect(job_key, records->job->modified)
        .Put(placement_key, EncodePlacement(placement))
        .Put(job_key, EncodeJob(job));
    m_context.audit.Add(transaction, "", "gang stop", job_key, m_plan.reason);
    if (m_context.store.Commit(transaction).result != TransactionResult::kApplied) {
      return kStepLater;
    }
    m_start_sent = placement.start_sent;
  } else {
    m_start_sent = records->placement->value.start_sent;
  }
  // A start request still in flight can be granted until the reservation lapses, and the tasks then
  // run for a full run lease.
  const Milliseconds longest = m_context.reservation_lease + m_context.run_lease;
  m_leases_lapse_at = m_context.clock.Now() + longest + longest * kClockRateMarginPercent / 100;
  m_phase = Phase::kStopWorkers;
  return kStepAgain;
}

StepResult GangStop::StopWorkers() {
  std::vector<StopRequest> requests;
  for (const WorkerShare& share : m_unconfirmed) {
    requests.push_back(StopRequest{share.worker, m_plan.job, m_plan.attempt, m_plan.mode});
  }
  const std::vector<StopReply> replies = m_context.workers.Stop(requests);
  std::vector<WorkerShare> still_open;
  for (std::size_t index = 0; index < replies.size(); ++index) {
    if (replies[index].kind == ReplyKind::kGranted) {
      MergeReport(m_unconfirmed[index], replies[index].report);
    } else {
      still_open.push_back(m_unconfirmed[index]);
    }
  }
  m_unconfirmed = std::move(still_open);
  // NOTE: if no start was sent, there is nothing to wait for; a reservation lapses by itself.
  const bool lapsed = m_start_sent == StartSent::kNo || m_context.clock.Now() >= m_leases_lapse_at;
  if (!m_unconfirmed.empty() && !lapsed) {
    return kStepLater;
  }
  if (!m_unconfirmed.empty()) {
    m_ever_started = EverStarted::kYes;
    m_all_succeeded = false;
    m_checkpoint_known = true;
    m_checkpoint = Milliseconds(0);
  }
  m_phase = Phase::kFinalize;
  return kStepAgain;
}

void GangStop::MergeReport(const WorkerShare& /*share*/, const AttemptReport& report) {
  if (report.ever_started == EverStarted::kYes) {
    m_ever_started = EverStarted::kYes;
  }
  m_all_succeeded = m_all_succeeded && report.phase == AttemptPhase::kSucceeded;
  m_checkpoint = m_checkpoint_known ? std::min(m_checkpoint, report.checkpoint) : report.checkpoint;
  m_checkpoint_known = true;
}

StepResult GangStop::Finalize() {
  const absl::StatusOr<GangRecords> records = ReadGang(m_context.store, m_plan.job, m_plan.zone);
  if (!records.ok()) {
    return kStepLater;
  }
  const bool superseded = !records->job || !records->placement ||
                          records->placement->value.attempt_id != m_plan.attempt;
  if (superseded) {
    return kStepDone;
  }
  const JobRecord job = JobAfterStop(records->job->value, records->placement->value);
  const std::string placement_key = keys::PlacementKey(m_plan.zone, m_plan.job);
  const std::string job_key = keys::JobKey(m_plan.job);
  Transaction transaction;
  transaction.Expect(placement_key, records->placement->modified)
      .Expect(job_key, records->job->modified)
      .Delete(placement_key)
      .Put(job_key, EncodeJob(job));
  m_context.audit.Add(transaction, "", "gang stopped", job_key, job.reason);
  if (m_context.store.Commit(transaction).result != TransactionResult::kApplied) {
    return kStepLater;
  }
  LogEvent(LogLevel::kInfo, "gang_stop", "gang stopped")
      .Job(m_plan.job)
      .Attempt(m_plan.attempt)
      .Zone(m_plan.zone)
      .Reason(job.reason)
      .Write();
  m_context.metrics.Increment("papayalift_gangs_stopped_total");
  return kStepDone;
}

JobRecord GangStop::JobAfterStop(const JobRecord& before, const PlacementRecord& placement) const {
  JobRecord job = before;
  const bool ran = m_start_sent == StartSent::kMaybe && m_ever_started == EverStarted::kYes;
  if (ran) {
    job.verdict = Verdict::kMayHaveRun;
    job.checkpoint = std::max(job.checkpoint, m_checkpoint);
    // NOTE: at least 1 ms, since a job with no attained time gets the verdict "not run".
    job.attained += std::max(Milliseconds(1), m_context.clock.WallNow() - placement.reserved_at);
  } else {
    job.attempt -= AttemptNumber(1);
    job.verdict = job.attained == Milliseconds(0) ? Verdict::kNotRun : Verdict::kMayHaveRun;
  }
  job.reason = placement.stop_reason;
  const bool cancelled =
      job.cancel == CancelRequest::kRequested || placement.after_stop == AfterStop::kCancel;
  if (ran && m_all_succeeded) {
    job.state = JobState::kSucceeded;
    job.verdict = Verdict::kRan;
    job.reason = "all its tasks succeeded";
  } else if (cancelled) {
    job.state = JobState::kCancelled;
    job.reason = "cancelled by its caller";
  } else if (placement.after_stop == AfterStop::kFail) {
    job.state = JobState::kFailed;
    job.verdict = Verdict::kRan;
  } else if (ran && job.spec.idempotency == Idempotency::kNonIdempotent) {
    job.state = JobState::kFailed;
    job.reason += "; it is non-idempotent and may have run, so it is not started again";
  } else {
    job.state = JobState::kQueued;
    // A job that never started keeps its place in the queue; one that ran goes behind the jobs that
    // it was stopped for.
    job.queued_at = ran ? m_context.clock.WallNow() : job.queued_at;
  }
  if (IsFinal(job.state)) {
    job.finished_at = m_context.clock.WallNow();
  }
  return job;
}

}  // namespace papayalift
