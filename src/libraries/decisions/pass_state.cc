#include "libraries/decisions/pass_state.h"

#include <utility>

namespace papayalift {

namespace {

/// A zone that was taken out or brought back more recently gets no borrowed gangs: one that flaps
/// would only stop them again.
constexpr Milliseconds kZoneSettleTime = std::chrono::minutes(1);

bool HasSettled(const ZoneId& zone, const Snapshot& snapshot) {
  const auto unchanged = snapshot.zone_unchanged_for.find(zone);
  return unchanged == snapshot.zone_unchanged_for.end() || unchanged->second >= kZoneSettleTime;
}

}  // namespace

PassState::PassState(const Snapshot& snapshot, const Policy& policy)
    : m_snapshot(snapshot),
      m_policy(policy),
      m_quotas(snapshot, policy.borrow_rule),
      m_empty(CapacityMap::WithoutGangs(snapshot)),
      m_free(m_empty),
      m_settled(m_empty),
      m_arriving(m_empty),
      m_job_decided(snapshot.waiting.size()),
      m_gang_stopping(snapshot.gangs.size()) {
  for (std::size_t position = 0; position < snapshot.gangs.size(); ++position) {
    const GangView& gang = snapshot.gangs[position];
    m_free.Hold(gang.tasks);
    m_gang_stopping[position] = gang.phase == PlacementPhase::kStopping;
  }
  m_arriving = m_free;
  for (const GangView& gang : snapshot.gangs) {
    if (gang.phase == PlacementPhase::kStopping) {
      m_arriving.Release(gang.tasks);
    }
  }
  m_settled = m_free;
  for (const ZoneRange& zone : m_settled.zones()) {
    if (!HasSettled(zone.zone, snapshot)) {
      m_settled.HoldAll(zone);
    }
  }
}

bool PassState::IsOpen(const WaitingJob& job) const { return !m_job_decided[PositionOf(job)]; }

bool PassState::IsRunning(const GangView& gang) const { return !m_gang_stopping[PositionOf(gang)]; }

void PassState::Start(const WaitingJob& job, const PlacementChoice& choice, Claim claim,
                      std::string reason) {
  SetAside(choice.tasks);
  m_quotas.Count(job);
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
  m_arriving.Release(gang.tasks);
  m_decision.stops.push_back(StopDecision{gang.job, cause, std::move(reason), for_job});
}

void PassState::SetAside(const std::vector<TaskPlacement>& tasks) {
  m_free.Hold(tasks);
  m_settled.Hold(tasks);
  m_arriving.Hold(tasks);
}

Decision PassState::TakeDecision() { return std::move(m_decision); }

std::size_t PassState::PositionOf(const WaitingJob& job) const {
  return static_cast<std::size_t>(&job - m_snapshot.waiting.data());
}

std::size_t PassState::PositionOf(const GangView& gang) const {
  return static_cast<std::size_t>(&gang - m_snapshot.gangs.data());
}

}  // namespace papayalift
