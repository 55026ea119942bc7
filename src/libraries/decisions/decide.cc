#include "libraries/decisions/decide.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "libraries/decisions/reservation.h"

namespace papayalift {

namespace {

class Pass {
 public:
  Pass(const Snapshot& snapshot, const Policy& policy)
      : m_snapshot(snapshot), m_policy(policy), m_capacity(CapacityMap::Of(snapshot)) {
    for (const GangView& gang : snapshot.gangs) {
      m_used[gang.workspace] += gang.shape.Total();
    }
  }

  Decision Run() {
    StopGangsInZonesOut();
    for (const WaitingJob* job : m_policy.order->Sort(m_snapshot.waiting)) {
      Consider(*job);
    }
    return std::move(m_decision);
  }

 private:
  void StopGangsInZonesOut() {
    for (const GangView& gang : m_snapshot.gangs) {
      const bool out = m_snapshot.zones.StateOf(gang.zone) == ZoneState::kOut;
      if (out && gang.phase == PlacementPhase::kCommitted) {
        m_decision.stops.push_back(
            StopDecision{gang.job, StopCause::kZoneOut,
                         fmt::format("zone '{}' was taken out", gang.zone.text())});
      }
    }
  }

  void Consider(const WaitingJob& job) {
    if (m_blocked) {
      Wait(job, WaitCause::kBehindLargerGang, "an earlier job has to start first");
      return;
    }
    if (!FitsQuota(job)) {
      return;
    }
    const std::optional<PlacementChoice> choice = ChoosePlace(job);
    if (choice) {
      Start(job, *choice);
      return;
    }
    WaitForCapacity(job);
  }

  std::optional<PlacementChoice> ChoosePlace(const WaitingJob& job) const {
    if (!m_reservation) {
      return m_policy.placer->Place(job.shape, m_capacity);
    }
    const bool ends_in_time = m_policy.estimate->WholeOf(job) <= m_reservation->available_in;
    if (ends_in_time) {
      return m_policy.placer->Place(job.shape, m_capacity);
    }
    CapacityMap rest = m_capacity;
    rest.Hold(m_reservation->place.tasks);
    return m_policy.placer->Place(job.shape, rest);
  }

  void WaitForCapacity(const WaitingJob& job) {
    if (m_reservation) {
      Wait(job, WaitCause::kBehindLargerGang,
           fmt::format("no room beside what job '{}' will need", m_reservation->job.text()));
      return;
    }
    Wait(job, WaitCause::kCapacity,
         fmt::format("no zone in service has {} times {} adjacent accelerators free",
                     job.shape.tasks.value(), job.shape.accelerators_per_task.value()));
    m_blocked = m_policy.queue_rule == QueueRule::kStopAtFirst;
    if (m_policy.queue_rule == QueueRule::kReserveForFirst) {
      m_reservation = FindReservation(
          job, ReservationInput{m_snapshot, m_capacity, *m_policy.placer, *m_policy.estimate});
    }
  }

  AcceleratorCount MostOf(const WorkspaceSpec& workspace) const {
    if (m_policy.borrow_rule == BorrowRule::kUpToQuota) {
      return workspace.quota;
    }
    AcceleratorCount guaranteed;
    for (const Guarantee& guarantee : workspace.guarantees) {
      guaranteed += AcceleratorCount(guarantee.count * guarantee.shape.Total().value());
    }
    return std::min(guaranteed, workspace.quota);
  }

  bool FitsQuota(const WaitingJob& job) {
    const auto workspace = std::find_if(
        m_snapshot.workspaces.begin(), m_snapshot.workspaces.end(),
        [&job](const WorkspaceSpec& candidate) { return candidate.id == job.workspace; });
    if (workspace == m_snapshot.workspaces.end()) {
      Wait(job, WaitCause::kNeverFits, "the bundle in force does not declare its workspace");
      return false;
    }
    const AcceleratorCount most = MostOf(*workspace);
    if (m_used[job.workspace] + job.shape.Total() > most) {
      Wait(job, WaitCause::kQuota,
           fmt::format("workspace '{}' holds {} of its {} accelerators", job.workspace.text(),
                       m_used[job.workspace].value(), most.value()));
      return false;
    }
    return true;
  }

  void Start(const WaitingJob& job, const PlacementChoice& choice) {
    m_capacity.Hold(choice.tasks);
    m_used[job.workspace] += job.shape.Total();
    m_decision.starts.push_back(
        StartDecision{job.job, choice.zone, Claim::kBorrowed, choice.tasks,
                      fmt::format("room for the whole gang in zone '{}'", choice.zone.text())});
  }

  void Wait(const WaitingJob& job, WaitCause cause, std::string reason) {
    m_decision.waits.push_back(WaitDecision{job.job, cause, std::move(reason)});
  }

  const Snapshot& m_snapshot;
  const Policy& m_policy;
  CapacityMap m_capacity;
  std::map<WorkspaceId, AcceleratorCount> m_used;
  Decision m_decision;
  std::optional<Reservation> m_reservation;
  bool m_blocked = false;
};

}  // namespace

Decision Decide(const Snapshot& snapshot, const Policy& policy) {
  return Pass(snapshot, policy).Run();
}

}  // namespace papayalift
