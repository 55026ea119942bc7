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

/// The longest time between two passes.
constexpr Milliseconds kPassInterval{1'000};
/// The shortest: changes that come close together are decided together.
constexpr Milliseconds kGatherTime{20};
/// A reservation that has not moved for so long was left by a node that is gone.
constexpr Milliseconds kOrphanAge{5'000};

}  // namespace

Scheduler::Scheduler(const GangContext& context, const FleetState& state, const Liveness& liveness,
                     const NodeId& self, AttemptNamer& namer, SessionRunner& runner)
    : m_context(context),
      m_state(state),
      m_liveness(liveness),
      m_self(self),
      m_namer(namer),
      m_runner(runner) {}

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
    Pass();
    m_state.WaitForChange(seen, kPassInterval);
    m_stop.WaitFor(kGatherTime);
  }
}

void Scheduler::Pass() {
  const std::shared_ptr<const FleetView> view = m_state.View();
  if (view->bundle == nullptr) {
    return;
  }
  const absl::StatusOr<Policy> policy = FindPolicy(view->bundle->bundle.policy.name);
  if (!policy.ok()) {
    LogEvent(LogLevel::kError, "scheduler", "no pass")
        .Reason(std::string(policy.status().message()))
        .Write();
    return;
  }
  const Milliseconds began = m_context.clock.Now();
  const Decision decision =
      Decide(BuildSnapshot(*view, m_context.clock.WallNow(), m_context.vms), *policy);
  m_context.metrics.Observe("papayalift_pass_ms",
                            static_cast<double>((m_context.clock.Now() - began).count()));
  CancelWaiting(*view);
  ApplyStops(*view, decision);
  RecoverPlacements(*view);
  ApplyStarts(*view, decision);
  RememberWaits(decision);
}

bool Scheduler::IsOwner(const JobId& job, const FleetView& view) const {
  return OwnerOf(job, m_liveness.Live(view)) == m_self;
}

void Scheduler::ApplyStarts(const FleetView& view, const Decision& decision) {
  for (const StartDecision& start : decision.starts) {
    if (!IsOwner(start.job, view) || m_runner.IsBusy(start.job)) {
      continue;
    }
    std::optional<StartPlan> plan = PlanOf(view, start);
    if (plan) {
      m_runner.Add(GangStart::Create(m_context, *std::move(plan)));
    }
  }
}

std::optional<StartPlan> Scheduler::PlanOf(const FleetView& view, const StartDecision& start) {
  const auto job = view.jobs.find(start.job);
  if (job == view.jobs.end()) {
    return std::nullopt;
  }
  StartPlan plan;
  plan.job = *job->second;
  plan.placement.job = start.job;
  plan.placement.workspace = plan.job.value.spec.workspace;
  plan.placement.attempt_id = m_namer.Next();
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
  for (const ZoneSpec& zone : view.bundle->bundle.zones) {
    const auto ledger = view.ledgers.find(zone.id);
    plan.ledgers[zone.id] = ledger == view.ledgers.end() ? Revision(0) : ledger->second;
  }
  plan.zones = view.zones.modified;
  plan.current_bundle = view.current_bundle_modified;
  return plan;
}

void Scheduler::ApplyStops(const FleetView& view, const Decision& decision) {
  for (const StopDecision& stop : decision.stops) {
    const auto placement = view.placements.find(stop.job);
    if (placement != view.placements.end() && IsOwner(stop.job, view)) {
      StopGang(view, placement->second->value, AfterStop::kQueueAgain, stop.reason);
    }
  }
}

void Scheduler::CancelWaiting(const FleetView& view) {
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
    } else if (placement.phase == PlacementPhase::kReserved) {
      const auto seen = m_orphans.find(placement.attempt_id);
      const Milliseconds now = m_context.clock.Now();
      const Milliseconds since = seen == m_orphans.end() ? now : seen->second;
      orphans[placement.attempt_id] = since;
      if (now - since >= kOrphanAge) {
        StopGang(view, placement, AfterStop::kQueueAgain,
                 "the node that reserved its capacity is gone");
      }
    }
  }
  m_orphans = std::move(orphans);
}

void Scheduler::StopGang(const FleetView& view, const PlacementRecord& placement,
                         AfterStop after_stop, const std::string& reason) {
  const absl::StatusOr<std::vector<WorkerShare>> shares = SharesOf(placement, view.bundle->bundle);
  if (!shares.ok()) {
    LogEvent(LogLevel::kError, "scheduler", "a gang can't be stopped")
        .Job(placement.job)
        .Reason(std::string(shares.status().message()))
        .Write();
    return;
  }
  StopPlan plan;
  plan.job = placement.job;
  plan.zone = placement.zone;
  plan.attempt = placement.attempt_id;
  plan.shares = *shares;
  plan.after_stop = after_stop;
  plan.reason = reason;
  m_runner.Add(GangStop::Create(m_context, std::move(plan)));
}

void Scheduler::RememberWaits(const Decision& decision) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_waits.clear();
  for (const WaitDecision& wait : decision.waits) {
    m_waits[wait.job] = wait;
  }
}

std::optional<WaitDecision> Scheduler::WaitOf(const JobId& job) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_waits.find(job);
  return found == m_waits.end() ? std::nullopt : std::optional<WaitDecision>(found->second);
}

}  // namespace papayalift
