#include "libraries/node/gang_start.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/log/log_event.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/placement_codec.h"

namespace papayalift {

namespace {

constexpr Milliseconds kReadBackInterval{200};
constexpr StepResult kRetryReadBack{StepKind::kAgain, kReadBackInterval};
constexpr Milliseconds kSequencerPollInterval{5};
constexpr StepResult kRetryAcquire{StepKind::kAgain, kSequencerPollInterval};

/// Returns the first reply that was not granted, or null.
const WorkerReply* FirstNotGranted(const std::vector<WorkerReply>& replies) {
  for (const WorkerReply& reply : replies) {
    if (reply.kind != ReplyKind::kGranted) {
      return &reply;
    }
  }
  return nullptr;
}

}  // namespace

std::shared_ptr<GangStart> GangStart::Create(const GangContext& context, StartPlan plan) {
  return std::shared_ptr<GangStart>(new GangStart(context, std::move(plan)));
}

GangStart::GangStart(const GangContext& context, StartPlan plan)
    : m_context(context),
      m_plan(std::move(plan)),
      m_sequencer(std::move(m_plan.sequencer)),
      m_job(m_plan.job.value),
      m_placement(m_plan.placement),
      m_job_modified(m_plan.job.modified),
      m_began_at(context.clock.Now()) {}

StepResult GangStart::Step() {
  switch (m_phase) {
    case Phase::kReserve:
      return Reserve();
    case Phase::kResolveReserve:
      return ResolveReserve();
    case Phase::kPrepare:
      return Prepare();
    case Phase::kCommit:
      return Commit();
    case Phase::kResolveCommit:
      return ResolveCommit();
    case Phase::kStart:
      return Start();
    case Phase::kUndo:
      return Undo();
  }
  return kStepDone;
}

Transaction GangStart::ReserveTransaction() {
  m_job.state = JobState::kStarting;
  m_job.attempt = m_job.attempt.Next();
  m_job.attempt_id = m_placement.attempt_id;
  m_job.reason = fmt::format("capacity is reserved in zone '{}'", m_placement.zone.text());
  const std::string job_key = keys::JobKey(job());
  Transaction transaction;
  for (const auto& [zone, revision] : m_sequencer->ledgers()) {
    transaction.Expect(keys::LedgerKey(zone), revision);
  }
  transaction.Expect(job_key, m_plan.job.modified)
      .Expect(keys::kZones, m_plan.zones)
      .Expect(keys::kCurrentBundle, m_plan.current_bundle)
      .Put(keys::LedgerKey(m_placement.zone), m_placement.attempt_id.text())
      .Put(keys::PlacementKey(m_placement.zone, job()), EncodePlacement(m_placement))
      .Put(job_key, EncodeJob(m_job));
  m_context.audit.Add(transaction, "", "gang reserve", job_key, m_job.reason);
  return transaction;
}

StepResult GangStart::Reserve() {
  switch (m_sequencer->TryAcquire()) {
    case ReservationTurn::kAcquired:
      break;
    case ReservationTurn::kBusy:
      return kRetryAcquire;
    case ReservationTurn::kInvalidated:
      m_context.metrics.Increment("papayalift_reserves_skipped_total");
      return kStepDone;
  }
  const TransactionOutcome outcome = m_context.store.Commit(ReserveTransaction());
  if (outcome.result == TransactionResult::kApplied) {
    m_sequencer->Release(m_placement.zone, outcome.revision);
  } else {
    m_sequencer->Invalidate();
  }
  m_sequencer.reset();
  return AfterReserve(outcome);
}

StepResult GangStart::AfterReserve(const TransactionOutcome& outcome) {
  switch (outcome.result) {
    case TransactionResult::kApplied:
      m_job_modified = outcome.revision;
      m_placement_modified = outcome.revision;
      return GoTo(Phase::kPrepare);
    case TransactionResult::kUnclear:
      return GoTo(Phase::kResolveReserve);
    case TransactionResult::kConflict:
      m_context.metrics.Increment("papayalift_reserve_conflicts_total");
      return kStepDone;
    case TransactionResult::kNotSent:
      return kStepDone;
  }
  return kStepDone;
}

StepResult GangStart::ResolveReserve() {
  const absl::StatusOr<GangRecords> records = ReadGang(m_context.store, job(), m_placement.zone);
  if (!records.ok()) {
    return kRetryReadBack;
  }
  const bool is_this_attempt = records->job && records->placement &&
                               records->placement->value.attempt_id == m_placement.attempt_id &&
                               records->placement->value.phase == PlacementPhase::kReserved;
  if (!is_this_attempt) {
    // NOTE: if the transaction is applied later, the owner finds a reservation without a session
    // and releases it; nothing starts without a commit. A placement that is being stopped is
    // finished by the session that stops it.
    return kStepDone;
  }
  m_job = records->job->value;
  m_job_modified = records->job->modified;
  m_placement_modified = records->placement->modified;
  if (m_job.cancel == CancelRequest::kRequested) {
    return BeginUndo("cancelled by its caller");
  }
  return GoTo(Phase::kPrepare);
}

StepResult GangStart::Prepare() {
  std::vector<PrepareRequest> requests;
  for (const WorkerShare& share : m_plan.shares) {
    requests.push_back(PrepareRequest{share.worker, job(), m_placement.attempt_id, share.tasks,
                                      m_context.reservation_lease});
  }
  const std::vector<WorkerReply> replies = m_context.workers.Prepare(requests);
  if (const WorkerReply* const problem = FirstNotGranted(replies)) {
    return BeginUndo(fmt::format("a worker did not prepare: {}", problem->reason));
  }
  return GoTo(Phase::kCommit);
}

Transaction GangStart::CommitTransaction() {
  m_placement.phase = PlacementPhase::kCommitted;
  m_job.state = JobState::kRunning;
  m_job.verdict = Verdict::kMayHaveRun;
  m_job.started_at = m_context.clock.WallNow();
  m_job.reason = fmt::format("its gang was started in zone '{}'", m_placement.zone.text());
  const std::string placement_key = keys::PlacementKey(m_placement.zone, job());
  const std::string job_key = keys::JobKey(job());
  Transaction transaction;
  transaction.Expect(placement_key, m_placement_modified)
      .Expect(job_key, m_job_modified)
      .Expect(keys::kZones, m_plan.zones)
      .Put(placement_key, EncodePlacement(m_placement))
      .Put(job_key, EncodeJob(m_job));
  m_context.audit.Add(transaction, "", "gang commit", job_key, m_job.reason);
  return transaction;
}

StepResult GangStart::Commit() {
  const Transaction transaction = CommitTransaction();
  const Milliseconds sent_at = m_context.clock.Now();
  const TransactionOutcome outcome = m_context.store.Commit(transaction);
  switch (outcome.result) {
    case TransactionResult::kApplied:
      m_context.view.ConfirmByTransaction(m_plan.zones, m_plan.current_bundle, sent_at);
      return GoTo(Phase::kStart);
    case TransactionResult::kUnclear:
      return GoTo(Phase::kResolveCommit);
    case TransactionResult::kConflict:
      return BeginUndo("zones, the job or its placement changed while it was prepared");
    case TransactionResult::kNotSent:
      return BeginUndo("the key-value service could not be reached");
  }
  return kStepDone;
}

StepResult GangStart::ResolveCommit() {
  const absl::StatusOr<GangRecords> records = ReadGang(m_context.store, job(), m_placement.zone);
  if (!records.ok()) {
    return kRetryReadBack;
  }
  const bool is_this_attempt =
      records->placement && records->placement->value.attempt_id == m_placement.attempt_id;
  if (!is_this_attempt) {
    return kStepDone;
  }
  if (records->placement->value.phase == PlacementPhase::kCommitted) {
    return GoTo(Phase::kStart);
  }
  return BeginUndo("the commit was not applied");
}

StepResult GangStart::Start() {
  // The view is checked after the last wait, since the commit may have been slow.
  if (m_context.view.Admit(m_placement.zone) != ZoneAdmission::kOpen) {
    return BeginUndo("the zone went out, or could not be confirmed, before the start");
  }
  std::vector<StartRequest> requests;
  for (const WorkerShare& share : m_plan.shares) {
    requests.push_back(StartRequest{share.worker, m_placement.attempt_id, m_job.spec.payload,
                                    m_context.run_lease, m_job.checkpoint});
  }
  const std::vector<WorkerReply> replies = m_context.workers.Start(requests);
  if (const WorkerReply* const problem = FirstNotGranted(replies)) {
    return BeginUndo(fmt::format("a worker did not start: {}", problem->reason));
  }
  RecordStarted();
  return kStepDone;
}

void GangStart::RecordStarted() {
  const Milliseconds took = m_context.clock.Now() - m_began_at;
  m_context.metrics.Observe("papayalift_gang_start_ms", static_cast<double>(took.count()));
  m_context.metrics.Increment("papayalift_gangs_started_total");
  LogEvent(LogLevel::kInfo, "gang_start", "gang started")
      .Job(job())
      .Attempt(m_placement.attempt_id)
      .Zone(m_placement.zone)
      .Field("took_ms", took.count())
      .Write();
}

StepResult GangStart::Undo() { return m_undo_stop->Step(); }

StepResult GangStart::GoTo(Phase phase) {
  m_phase = phase;
  return kStepAgain;
}

StepResult GangStart::BeginUndo(const std::string& reason) {
  StopPlan plan;
  plan.job = job();
  plan.zone = m_placement.zone;
  plan.attempt = m_placement.attempt_id;
  plan.shares = m_plan.shares;
  plan.mode = StopMode::kAtOnce;
  plan.reason = reason;
  m_undo_stop = GangStop::Create(m_context, std::move(plan));
  m_context.metrics.Increment("papayalift_gang_starts_undone_total");
  return GoTo(Phase::kUndo);
}

}  // namespace papayalift
