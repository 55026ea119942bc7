#include "libraries/decisions/queue_stage.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/decisions/reclaim.h"

namespace papayalift {

namespace {

std::vector<const WorkerView*> IdleProbationWorkers(const Snapshot& snapshot) {
  std::set<WorkerId> busy;
  std::vector<const WorkerView*> idle;
  for (const WorkerView& worker : snapshot.workers) {
    const bool on_probation = worker.health == WorkerHealth::kProbation &&
                              snapshot.zones.StateOf(worker.zone) == ZoneState::kIn;
    if (on_probation) {
      idle.push_back(&worker);
    }
  }
  if (idle.empty()) {
    return idle;
  }
  for (const GangView& gang : snapshot.gangs) {
    for (const TaskPlacement& task : gang.tasks) {
      busy.insert(task.worker);
    }
  }
  std::erase_if(idle, [&busy](const WorkerView* worker) { return busy.contains(worker->id); });
  return idle;
}

bool IsAtLeast(const Shape& shape, const Shape& other) {
  return shape.tasks >= other.tasks && shape.accelerators_per_task >= other.accelerators_per_task;
}

}  // namespace

QueueStage::QueueStage(PassState& state)
    : m_state(state), m_canaries(IdleProbationWorkers(state.snapshot())) {}

void QueueStage::Run(const std::vector<const WaitingJob*>& order) {
  for (const WaitingJob* job : order) {
    if (m_state.IsOpen(*job)) {
      Consider(*job);
    }
  }
}

void QueueStage::Consider(const WaitingJob& job) {
  if (m_blocked) {
    m_state.Wait(job, WaitCause::kBehindLargerGang, "an earlier job has to start first");
    return;
  }
  const std::optional<WaitDecision> over_quota = m_state.quotas().WhyNot(job);
  if (over_quota) {
    m_state.Wait(job, over_quota->cause, over_quota->reason);
    return;
  }
  if (StartAsCanary(job)) {
    return;
  }
  const std::optional<PlacementChoice> choice = ChoosePlace(job);
  if (choice) {
    Start(job, *choice);
  } else {
    WaitForCapacity(job);
  }
}

bool QueueStage::StartAsCanary(const WaitingJob& job) {
  const bool suits = job.shape.tasks == TaskCount(1) && job.urgency == Urgency::kNormal;
  const auto worker = std::find_if(
      m_canaries.begin(), m_canaries.end(), [&job, suits](const WorkerView* candidate) {
        return suits && candidate->accelerators >= job.shape.accelerators_per_task;
      });
  if (worker == m_canaries.end()) {
    return false;
  }
  const AcceleratorSet run = AcceleratorSet::First(job.shape.accelerators_per_task);
  m_state.Start(job, {(*worker)->zone, {TaskPlacement{(*worker)->id, run}}}, Claim::kBorrowed,
                fmt::format("canary for worker '{}', which is on probation", (*worker)->id.text()));
  m_canaries.erase(worker);
  return true;
}

QueueStage::Reach QueueStage::ReachOf(const WaitingJob& job) const {
  const bool in_time =
      !m_reservation || m_state.policy().estimate->WholeOf(job) <= m_reservation->available_in;
  return in_time ? Reach::kAll : Reach::kBesideReservation;
}

std::optional<PlacementChoice> QueueStage::ChoosePlace(const WaitingJob& job) {
  const Reach reach = ReachOf(job);
  std::vector<Shape>& too_large = m_too_large[static_cast<std::size_t>(reach)];
  const bool hopeless = std::any_of(too_large.begin(), too_large.end(), [&job](const Shape& shape) {
    return IsAtLeast(job.shape, shape);
  });
  if (hopeless) {
    return std::nullopt;
  }
  const CapacityMap& capacity = reach == Reach::kAll ? m_state.settled() : m_beside;
  std::optional<PlacementChoice> choice = m_state.policy().placer->Place(job.shape, capacity);
  if (!choice) {
    too_large.push_back(job.shape);
  }
  return choice;
}

void QueueStage::Start(const WaitingJob& job, const PlacementChoice& choice) {
  if (m_reservation) {
    m_beside.Hold(choice.tasks);
  }
  m_state.Start(job, choice, Claim::kBorrowed,
                fmt::format("room for the whole gang in zone '{}'", choice.zone.text()));
}

void QueueStage::WaitForCapacity(const WaitingJob& job) {
  if (m_reservation) {
    m_state.Wait(job, WaitCause::kBehindLargerGang,
                 fmt::format("no room beside what job '{}' will need", m_reservation->job.text()));
    return;
  }
  m_state.Wait(job, WaitCause::kCapacity,
               fmt::format("no zone in service has {} times {} adjacent accelerators free",
                           job.shape.tasks.value(), job.shape.accelerators_per_task.value()));
  m_blocked = m_state.policy().queue_rule == QueueRule::kStopAtFirst;
  Reserve(job);
}

void QueueStage::Reserve(const WaitingJob& job) {
  const QueueRule rule = m_state.policy().queue_rule;
  if (rule == QueueRule::kReserveAndDrain) {
    m_reservation = Drain(job);
  }
  const bool reserves = rule == QueueRule::kReserveAndDrain || rule == QueueRule::kReserveForFirst;
  if (reserves && !m_reservation) {
    m_reservation = FindReservation(
        job, ReservationInput{m_state.snapshot(), m_state.settled(), *m_state.policy().placer,
                              *m_state.policy().estimate});
  }
  if (m_reservation) {
    m_beside = m_state.settled();
    m_beside.Hold(m_reservation->place.tasks);
  }
}

std::optional<Reservation> QueueStage::Drain(const WaitingJob& job) {
  const Milliseconds longest_wait = m_state.policy().longest_wait;
  if (job.waiting_for < longest_wait) {
    return std::nullopt;
  }
  std::optional<VictimChoice> best;
  const ZoneRange* best_zone = nullptr;
  for (const ZoneRange& zone : m_state.arriving().zones()) {
    std::vector<const GangView*> candidates;
    for (const GangView& gang : m_state.snapshot().gangs) {
      const bool has_had_its_turn = gang.zone == zone.zone && gang.claim == Claim::kBorrowed &&
                                    m_state.IsRunning(gang) && gang.urgency == Urgency::kNormal &&
                                    gang.running_for >= longest_wait;
      if (has_had_its_turn) {
        candidates.push_back(&gang);
      }
    }
    std::optional<VictimChoice> choice =
        ChooseVictims(job.shape, candidates, m_state.arriving(), zone);
    if (choice && (!best || IsBetter(*choice, *best))) {
      best = std::move(choice);
      best_zone = &zone;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  for (const GangView* victim : best->victims) {
    m_state.Stop(*victim, StopCause::kReclaim, job.job,
                 fmt::format("its turn is over: job '{}' has waited too long", job.job.text()));
  }
  std::optional<PlacementChoice> place =
      m_state.policy().placer->PlaceInZone(job.shape, m_state.arriving(), *best_zone);
  if (!place) {
    return std::nullopt;
  }
  return Reservation{job.job, *std::move(place), Milliseconds{0}};
}

}  // namespace papayalift
