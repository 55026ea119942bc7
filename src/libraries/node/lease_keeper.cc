#include "libraries/node/lease_keeper.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/log/log_event.h"
#include "libraries/node/gang_finish.h"
#include "libraries/node/gang_stop.h"
#include "libraries/node/ownership.h"

namespace papayalift {

namespace {

constexpr Milliseconds kRoundInterval{250};
/// Gangs that started recently are polled more often, so that the end of short jobs is seen soon.
constexpr Milliseconds kRecentStartAge{30'000};
constexpr Milliseconds kRecentStartRenewalInterval{500};
/// A task failure in this attempt or later fails the job; an earlier one queues it again.
constexpr int kMaxAttempts = 3;

int CountPhase(const std::vector<AttemptReport>& reports, AttemptPhase phase) {
  return static_cast<int>(
      std::count_if(reports.begin(), reports.end(),
                    [phase](const AttemptReport& report) { return report.phase == phase; }));
}

}  // namespace

LeaseKeeper::LeaseKeeper(const GangContext& context, const FleetState& state,
                         const Membership& membership, StoreProgress& progress, const NodeId& self,
                         SessionRunner& runner, Milliseconds renewal_interval)
    : m_context(context),
      m_state(state),
      m_membership(membership),
      m_progress(progress),
      m_self(self),
      m_runner(runner),
      m_renewal_interval(renewal_interval) {}

void LeaseKeeper::Start() {
  m_thread.Start([this] { Run(); });
}

void LeaseKeeper::Stop() {
  m_stop.Raise();
  m_thread.Join();
}

void LeaseKeeper::Run() {
  while (!m_stop.raised()) {
    RenewLeases();
    m_stop.WaitFor(kRoundInterval);
  }
}

void LeaseKeeper::RenewLeases() {
  // The view is taken after the revision, so that it holds everything that is confirmed.
  const std::optional<Milliseconds> confirmed_at =
      m_progress.ConfirmedAt(m_state.followed_revision());
  const std::shared_ptr<const FleetView> view = m_state.View();
  if (view->bundle == nullptr) {
    return;
  }
  const std::optional<RenewalBasis> basis =
      RenewalBasisOf(m_context.clock.Now(), confirmed_at, m_membership.RegisteredPeerStates(*view));
  if (!basis) {
    m_context.metrics.Increment("papayalift_renewal_rounds_withheld_total");
    return;
  }
  std::vector<Renewal> renewals = DueRenewals(*view, *basis);
  SendRenewals(renewals, *basis);
  for (const Renewal& renewal : renewals) {
    ActOnReports(renewal);
  }
}

std::vector<LeaseKeeper::Renewal> LeaseKeeper::DueRenewals(const FleetView& view,
                                                           const RenewalBasis& basis) {
  std::vector<Renewal> renewals;
  std::map<AttemptId, RenewalState> renewal_states;
  const std::vector<NodeId> live = m_membership.LiveNodes(view);
  const Milliseconds now = m_context.clock.Now();
  for (const auto& [id, placement] : view.placements) {
    const auto job = view.jobs.find(id);
    const bool renewable = placement->value.phase == PlacementPhase::kCommitted &&
                           job != view.jobs.end() && OwnerOf(id, live) == m_self &&
                           !m_runner.IsBusy(id) &&
                           !basis.stopping.contains(placement->value.attempt_id);
    if (!renewable) {
      continue;
    }
    const auto previous = m_renewal_states.find(placement->value.attempt_id);
    RenewalState& state = renewal_states[placement->value.attempt_id];
    state = previous == m_renewal_states.end()
                ? RenewalState{now, Milliseconds(0), now, now - m_context.run_lease}
                : previous->second;
    if (!IsDue(state)) {
      continue;
    }
    absl::StatusOr<std::vector<WorkerShare>> shares =
        SharesOf(placement->value, view.bundle->bundle);
    if (shares.ok()) {
      if (previous == m_renewal_states.end()) {
        LogEvent(LogLevel::kInfo, "lease_keeper", "renews a gang")
            .Job(id)
            .Attempt(placement->value.attempt_id)
            .Write();
      }
      state.renewed_at = now;
      renewals.push_back(Renewal{placement, job->second, *std::move(shares), {}, 0});
    }
  }
  m_renewal_states = std::move(renewal_states);
  return renewals;
}

bool LeaseKeeper::IsDue(const RenewalState& state) const {
  const Milliseconds now = m_context.clock.Now();
  const bool recently_started = now - state.first_seen < kRecentStartAge;
  return now - state.renewed_at >=
         (recently_started ? kRecentStartRenewalInterval : m_renewal_interval);
}

Milliseconds LeaseKeeper::LeaseOf(const Renewal& renewal, const RenewalBasis& basis) const {
  const RenewalState& state = m_renewal_states.at(renewal.placement->value.attempt_id);
  const Milliseconds from = std::min(state.lease_start, basis.lease_start);
  return std::max(Milliseconds(0), m_context.run_lease - (state.renewed_at - from));
}

void LeaseKeeper::SendRenewals(std::vector<Renewal>& renewals, const RenewalBasis& basis) {
  std::map<std::pair<WorkerTarget, Milliseconds>, RenewRequest> by_worker;
  for (const Renewal& renewal : renewals) {
    const Milliseconds lease = LeaseOf(renewal, basis);
    for (const WorkerShare& share : renewal.shares) {
      RenewRequest& request = by_worker[{share.worker, lease}];
      request.worker = share.worker;
      request.run_lease = lease;
      request.attempts.push_back(renewal.placement->value.attempt_id);
    }
  }
  std::vector<RenewRequest> requests;
  requests.reserve(by_worker.size());
  for (auto& [worker, request] : by_worker) {
    requests.push_back(std::move(request));
  }
  const std::vector<RenewReply> replies = m_context.workers.Renew(requests);
  std::map<AttemptId, Renewal*> by_attempt;
  for (Renewal& renewal : renewals) {
    by_attempt[renewal.placement->value.attempt_id] = &renewal;
  }
  for (std::size_t index = 0; index < replies.size(); ++index) {
    const RenewReply& reply = replies[index];
    if (reply.kind != ReplyKind::kGranted) {
      for (const AttemptId& attempt : requests[index].attempts) {
        ++by_attempt[attempt]->silent_workers;
      }
    }
    for (const AttemptReport& report : reply.reports) {
      const auto renewal = by_attempt.find(report.attempt);
      if (renewal != by_attempt.end()) {
        renewal->second->reports.push_back(report);
      }
    }
  }
}

void LeaseKeeper::ActOnReports(const Renewal& renewal) {
  const PlacementRecord& placement = renewal.placement->value;
  RenewalState& state = m_renewal_states[placement.attempt_id];
  const Milliseconds now = m_context.clock.Now();
  const int succeeded = CountPhase(renewal.reports, AttemptPhase::kSucceeded);
  const int running = CountPhase(renewal.reports, AttemptPhase::kRunning);
  const int failed = CountPhase(renewal.reports, AttemptPhase::kFailed);
  const int reported = static_cast<int>(renewal.reports.size());
  if (renewal.silent_workers == 0) {
    state.all_answered_at = state.renewed_at;
    state.lease_start = state.renewed_at;
  }
  if (failed > 0) {
    const bool may_retry = renewal.job->value.attempt.value() < kMaxAttempts;
    StopGang(renewal, may_retry ? AfterStop::kQueueAgain : AfterStop::kFail,
             "one of its tasks failed");
  } else if (reported > succeeded + running) {
    StopGang(renewal, AfterStop::kQueueAgain, "one of its tasks was lost");
  } else if (succeeded == static_cast<int>(renewal.shares.size())) {
    m_runner.Add(
        GangFinish::Create(m_context, placement.job, placement.zone, placement.attempt_id));
  } else if (now - state.all_answered_at >= m_context.run_lease - m_renewal_interval) {
    // NOTE: stopped while the leases of the other workers are still valid, so that these can
    // checkpoint.
    StopGang(renewal, AfterStop::kQueueAgain, "a worker with one of its tasks does not answer");
  }
}

void LeaseKeeper::StopGang(const Renewal& renewal, AfterStop after_stop,
                           const std::string& reason) {
  const PlacementRecord& placement = renewal.placement->value;
  StopPlan plan;
  plan.job = placement.job;
  plan.zone = placement.zone;
  plan.attempt = placement.attempt_id;
  plan.shares = renewal.shares;
  plan.after_stop = after_stop;
  plan.reason = reason;
  m_runner.Add(GangStop::Create(m_context, std::move(plan)));
}

}  // namespace papayalift
