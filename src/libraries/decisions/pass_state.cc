#include "libraries/decisions/pass_state.h"

#include <utility>

namespace papayalift {

namespace {

/// A zone that was taken out or brought back more recently gets no borrowed gangs, which would only
/// be stopped again if the zone is flapping.
constexpr Milliseconds kZoneStabilizationTime = std::chrono::minutes(1);

bool IsStable(const ZoneId& zone, const Snapshot& snapshot) {
  const auto unchanged = snapshot.time_since_zone_change.find(zone);
  return unchanged == snapshot.time_since_zone_change.end() ||
         unchanged->second >= kZoneStabilizationTime;
}

}  // namespace

PassState::PassState(const Snapshot& snapshot, const Policy& policy)
    : m_snapshot(snapshot),
      m_policy(policy),
      m_quotas(snapshot, policy.borrow_rule),
      m_total(CapacityMap::WithoutGangs(snapshot)),
      m_free(m_total),
      m_stable_free(m_total),
      m_future_free(m_total),
      m_job_decided(snapshot.waiting.size()),
      m_gang_stopping(snapshot.gangs.size()) {
  for (std::size_t position = 0; position < snapshot.gangs.size(); ++position) {
    const GangView& gang = snapshot.gangs[position];
    m_free.Allocate(gang.tasks);
    m_gang_stopping[position] = gang.phase == PlacementPhase::kStopping;
  }
  m_future_free = m_free;
  for (const GangView& gang : snapshot.gangs) {
    if (gang.phase == PlacementPhase::kStopping) {
      m_future_free.Release(gang.tasks);
    }
  }
  m_stable_free = m_free;
  for (const ZoneRange& zone : m_stable_free.zones()) {
    if (!IsStable(zone.zone, snapshot)) {
      m_stable_free.AllocateAll(zone);
    }
  }
}

bool PassState::IsUndecided(const WaitingJob& job) const { return !m_job_decided[PositionOf(job)]; }

bool PassState::IsRunning(const GangView& gang) const { return !m_gang_stopping[PositionOf(gang)]; }

void PassState::Start(const WaitingJob& job, const PlacementChoice& choice, Claim claim,
                      std::string reason) {
  Allocate(choice.tasks);
  m_quotas.Charge(job);
  m_job_decided[PositionOf(job)] = true;
  m_decision.starts.push_back(
      StartDecision{job.job, choice.zone, claim, choice.tasks, std::move(reason)});
}

void PassState::Wait(const WaitingJob& job, WaitCause cause, std::string reason) {
  m_job_decided[PositionOf(job)] = true;
  m_decision.waits.push_back(WaitDecision{job.job, cause, std::move(reason)});
}

void PassState::Stop(const GangView& gang, StopCause cause, const JobId& for_job,
                     std::string reason) {
  m_gang_stopping[PositionOf(gang)] = true;
  m_future_free.Release(gang.tasks);
  m_decision.stops.push_back(StopDecision{gang.job, cause, std::move(reason), for_job});
}

void PassState::Allocate(const std::vector<TaskPlacement>& tasks) {
  m_free.Allocate(tasks);
  m_stable_free.Allocate(tasks);
  m_future_free.Allocate(tasks);
}

Decision PassState::TakeDecision() { return std::move(m_decision); }

std::size_t PassState::PositionOf(const WaitingJob& job) const {
  return static_cast<std::size_t>(&job - m_snapshot.waiting.data());
}

std::size_t PassState::PositionOf(const GangView& gang) const {
  return static_cast<std::size_t>(&gang - m_snapshot.gangs.data());
}

}  // namespace papayalift
