#include "libraries/node/scheduler.h"

#include <utility>

#include "libraries/decisions/decide.h"
#include "libraries/log/log_event.h"
#include "libraries/node/gang_cancel.h"
#include "libraries/node/gang_records.h"
#include "libraries/node/ownership.h"
#include "libraries/node/snapshot_builder.h"

namespace papayalift {

namespace {

/// Maximum time between two passes.
constexpr Milliseconds kPassInterval{1'000};
/// Minimum time between two passes, so that changes in quick succession are decided together.
constexpr Milliseconds kBatchingDelay{20};
/// A reservation that no session has worked on for this long was left by a node that is gone.
constexpr Milliseconds kOrphanAge{5'000};

}  // namespace

Scheduler::Scheduler(const GangContext& context, const FleetState& state, const Liveness& liveness,
                     const NodeId& self, AttemptIdGenerator& namer, SessionRunner& runner)
    : m_context(context),
      m_state(state),
      m_liveness(liveness),
      m_self(self),
      m_attempt_ids(namer),
      m_runner(runner),
      m_retention(context, runner) {}

void Scheduler::Start() {
  m_thread.Start([this] { Run(); });
}

void Scheduler::Stop() {
  m_stop.Raise();
  m_thread.Join();
}

void Scheduler::Run() {
  while (!m_stop.raised()) {
    const Revision seen = m_state.View()->revision;
    RunPass();
    m_state.WaitForChange(seen, kPassInterval);
    m_stop.WaitFor(kBatchingDelay);
  }
}

void Scheduler::RunPass() {
  const std::shared_ptr<const FleetView> view = m_state.View();
  // The revision of a roll is known before the rolled bundle has been read. Until then, a
  // reservation would compare the new revision although it was decided on the old bundle.
  const bool in_force = view->bundle != nullptr && view->bundle->version == view->rolled_version;
  if (!in_force) {
    return;
  }
  const absl::StatusOr<Policy> policy = FindPolicy(view->bundle->bundle.policy.name);
  if (!policy.ok()) {
    LogEvent(LogLevel::kError, "scheduler", "the pass was skipped")
        .Reason(std::string(policy.status().message()))
        .Write();
    return;
  }
  const Milliseconds began = m_context.clock.Now();
  m_zone_history.Observe(view->zones.value, began);
  Snapshot snapshot = BuildSnapshot(*view, m_context.clock.WallNow(), m_context.vms);
  snapshot.time_since_zone_change = m_zone_history.TimeSinceChange(began);
  const Decision decision = Decide(snapshot, *policy);
  m_context.metrics.Observe("papayalift_pass_ms",
                            static_cast<double>((m_context.clock.Now() - began).count()));
  CancelQueuedJobs(*view);
  ApplyStops(*view, decision);
  RecoverPlacements(*view);
  ApplyStarts(*view, decision);
  m_retention.Sweep(*view, [this, &view](const JobId& job) { return IsOwner(job, *view); });
  RecordWaits(decision);
}

bool Scheduler::IsOwner(const JobId& job, const FleetView& view) const {
  return OwnerOf(job, m_liveness.LiveNodes(view)) == m_self;
}

void Scheduler::ApplyStarts(const FleetView& view, const Decision& decision) {
  // NOTE: gangs of an earlier pass that are still reserving would invalidate these decisions.
  if (!m_sequencer.expired()) {
    return;
  }
  const std::shared_ptr<ReservationSequencer> sequencer = NewSequencer(view);
  m_sequencer = sequencer;
  for (const StartDecision& start : decision.starts) {
    if (!IsOwner(start.job, view) || m_runner.IsBusy(start.job)) {
      continue;
    }
    std::optional<StartPlan> plan = MakeStartPlan(view, start);
    if (plan) {
      plan->sequencer = sequencer;
      m_runner.Add(GangStart::Create(m_context, *std::move(plan)));
    }
  }
}

std::optional<StartPlan> Scheduler::MakeStartPlan(const FleetView& view,
                                                  const StartDecision& start) {
  const auto job = view.jobs.find(start.job);
  if (job == view.jobs.end()) {
    return std::nullopt;
  }
  StartPlan plan;
  plan.job = *job->second;
  plan.placement.job = start.job;
  plan.placement.workspace = plan.job.value.spec.workspace;
  plan.placement.attempt_id = m_attempt_ids.Next();
  plan.placement.zone = start.zone;
  plan.placement.shape = plan.job.value.spec.shape;
  plan.placement.claim = start.claim;
  plan.placement.tasks = start.tasks;
  plan.placement.reserved_at = m_context.clock.WallNow();
  absl::StatusOr<std::vector<WorkerShare>> shares = SharesOf(plan.placement, view.bundle->bundle);
  if (!shares.ok()) {
    return std::nullopt;
  }
  plan.shares = *std::move(shares);
  plan.zones = view.zones.modified;
  plan.current_bundle = view.current_bundle_modified;
  return plan;
}

std::shared_ptr<ReservationSequencer> Scheduler::NewSequencer(const FleetView& view) {
  std::map<ZoneId, Revision> ledgers;
  for (const ZoneSpec& zone : view.bundle->bundle.zones) {
    const auto ledger = view.ledgers.find(zone.id);
    ledgers[zone.id] = ledger == view.ledgers.end() ? Revision(0) : ledger->second;
  }
  return std::make_shared<ReservationSequencer>(std::move(ledgers));
}

void Scheduler::ApplyStops(const FleetView& view, const Decision& decision) {
  for (const StopDecision& stop : decision.stops) {
    const auto placement = view.placements.find(stop.job);
    if (placement != view.placements.end() && IsOwner(stop.job, view)) {
      StopGang(view, placement->second->value, AfterStop::kQueueAgain, stop.reason);
    }
  }
}

void Scheduler::CancelQueuedJobs(const FleetView& view) {
  for (const auto& [id, job] : view.jobs) {
    const bool wanted = job->value.cancel == CancelRequest::kRequested &&
                        job->value.state == JobState::kQueued && IsOwner(id, view);
    if (wanted && !m_runner.IsBusy(id)) {
      m_runner.Add(GangCancel::Create(m_context, id));
    }
  }
}

void Scheduler::RecoverPlacements(const FleetView& view) {
  std::map<AttemptId, Milliseconds> orphans;
  for (const auto& [id, record] : view.placements) {
    const PlacementRecord& placement = record->value;
    if (m_runner.IsBusy(id) || !IsOwner(id, view)) {
      continue;
    }
    const auto job = view.jobs.find(id);
    const bool cancelled =
        job != view.jobs.end() && job->second->value.cancel == CancelRequest::kRequested;
    if (cancelled) {
      StopGang(view, placement, AfterStop::kCancel, "cancelled by its caller");
    } else if (placement.phase == PlacementPhase::kStopping) {
      StopGang(view, placement, placement.after_stop, placement.stop_reason);
    } else if (!SharesOf(placement, view.bundle->bundle).ok()) {
      StopGang(view, placement, AfterStop::kQueueAgain,
               "the bundle in force no longer declares one of its workers");
    } else if (placement.phase == PlacementPhase::kReserved) {
      const auto seen = m_orphaned_since.find(placement.attempt_id);
      const Milliseconds now = m_context.clock.Now();
      const Milliseconds since = seen == m_orphaned_since.end() ? now : seen->second;
      orphans[placement.attempt_id] = since;
      if (now - since >= kOrphanAge) {
        StopGang(view, placement, AfterStop::kQueueAgain,
                 "the node that reserved its capacity is gone");
      }
    }
  }
  m_orphaned_since = std::move(orphans);
}

void Scheduler::StopGang(const FleetView& view, const PlacementRecord& placement,
                         AfterStop after_stop, const std::string& reason) {
  StopPlan plan;
  plan.job = placement.job;
  plan.zone = placement.zone;
  plan.attempt = placement.attempt_id;
  plan.shares = SharesToStop(placement, view.bundle->bundle);
  plan.after_stop = after_stop;
  plan.reason = reason;
  m_runner.Add(GangStop::Create(m_context, std::move(plan)));
}

void Scheduler::RecordWaits(const Decision& decision) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_wait_decisions.clear();
  for (const WaitDecision& wait : decision.waits) {
    m_wait_decisions[wait.job] = wait;
  }
}

std::optional<WaitDecision> Scheduler::WaitOf(const JobId& job) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_wait_decisions.find(job);
  return found == m_wait_decisions.end() ? std::nullopt
                                         : std::optional<WaitDecision>(found->second);
}

}  // namespace papayalift
