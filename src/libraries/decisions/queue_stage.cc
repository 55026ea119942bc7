#include "libraries/decisions/queue_stage.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/decisions/victim_choice.h"

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

bool IsAtLeastAsLargeAsAny(const Shape& shape, const std::vector<Shape>& others) {
  return std::any_of(others.begin(), others.end(), [&shape](const Shape& other) {
    return shape.tasks >= other.tasks && shape.accelerators_per_task >= other.accelerators_per_task;
  });
}

}  // namespace

QueueStage::QueueStage(PassState& state)
    : m_state(state), m_canary_workers(IdleProbationWorkers(state.snapshot())) {}

void QueueStage::Run(const std::vector<const WaitingJob*>& order) {
  for (const WaitingJob* job : order) {
    if (m_state.IsUndecided(*job)) {
      ScheduleJob(*job);
    }
  }
}

void QueueStage::ScheduleJob(const WaitingJob& job) {
  if (m_queue_blocked) {
    m_state.Wait(job, WaitCause::kBehindEarlierJob, "an earlier job has to start first");
    return;
  }
  const std::optional<WaitDecision> refusal = m_state.quotas().CheckQuota(job);
  if (refusal) {
    m_state.Wait(job, refusal->cause, refusal->reason);
    return;
  }
  if (StartAsCanary(job)) {
    return;
  }
  const std::optional<PlacementChoice> choice = ChoosePlacement(job);
  if (choice) {
    Start(job, *choice);
  } else {
    WaitForCapacity(job);
  }
}

bool QueueStage::StartAsCanary(const WaitingJob& job) {
  const bool can_be_canary = job.shape.tasks == TaskCount(1) && job.urgency == Urgency::kNormal;
  const auto worker = std::find_if(m_canary_workers.begin(), m_canary_workers.end(),
                                   [&job, can_be_canary](const WorkerView* candidate) {
                                     return can_be_canary && candidate->accelerators >=
                                                                 job.shape.accelerators_per_task;
                                   });
  if (worker == m_canary_workers.end()) {
    return false;
  }
  const AcceleratorSet run = AcceleratorSet::First(job.shape.accelerators_per_task);
  m_state.Start(job, {(*worker)->zone, {TaskPlacement{(*worker)->id, run}}}, Claim::kBorrowed,
                fmt::format("canary for worker '{}', which is on probation", (*worker)->id.text()));
  m_canary_workers.erase(worker);
  return true;
}

QueueStage::CapacityScope QueueStage::ScopeFor(const WaitingJob& job) const {
  const bool ends_in_time =
      !m_reservation || m_state.policy().estimate->RunTimeOf(job) <= m_reservation->available_in;
  return ends_in_time ? CapacityScope::kAll : CapacityScope::kOutsideReservation;
}

std::optional<PlacementChoice> QueueStage::ChoosePlacement(const WaitingJob& job) {
  const CapacityScope scope = ScopeFor(job);
  std::vector<Shape>& unplaceable = m_unplaceable[static_cast<std::size_t>(scope)];
  if (IsAtLeastAsLargeAsAny(job.shape, unplaceable)) {
    return std::nullopt;
  }
  const CapacityMap& capacity = scope == CapacityScope::kAll ? m_state.stable_free() : m_unreserved;
  std::optional<PlacementChoice> choice =
      m_state.policy().placer->FindPlacement(job.shape, capacity);
  if (!choice) {
    unplaceable.push_back(job.shape);
  }
  return choice;
}

void QueueStage::Start(const WaitingJob& job, const PlacementChoice& choice) {
  if (m_reservation) {
    m_unreserved.Allocate(choice.tasks);
  }
  m_state.Start(job, choice, Claim::kBorrowed,
                fmt::format("the whole gang fits in zone '{}'", choice.zone.text()));
}

void QueueStage::WaitForCapacity(const WaitingJob& job) {
  if (m_reservation) {
    m_state.Wait(job, WaitCause::kBehindEarlierJob,
                 fmt::format("does not fit beside the capacity reserved for job '{}'",
                             m_reservation->job.text()));
    return;
  }
  m_state.Wait(job, WaitCause::kCapacity,
               fmt::format("no zone in service has {} times {} adjacent accelerators free",
                           job.shape.tasks.value(), job.shape.accelerators_per_task.value()));
  m_queue_blocked = m_state.policy().queue_rule == QueueRule::kStrictOrder;
  Reserve(job);
}

void QueueStage::Reserve(const WaitingJob& job) {
  const QueueRule rule = m_state.policy().queue_rule;
  const bool reserves = rule == QueueRule::kBackfillAndPreempt || rule == QueueRule::kBackfill;
  if (!reserves || IsAtLeastAsLargeAsAny(job.shape, m_unreservable)) {
    return;
  }
  m_reservation = FindReservationFor(job);
  if (!m_reservation) {
    m_unreservable.push_back(job.shape);
    return;
  }
  m_unreserved = m_state.stable_free();
  m_unreserved.Allocate(m_reservation->placement.tasks);
}

std::optional<Reservation> QueueStage::FindReservationFor(const WaitingJob& job) {
  if (m_state.policy().queue_rule == QueueRule::kBackfillAndPreempt) {
    std::optional<Reservation> preempted = PreemptLongRunning(job);
    if (preempted) {
      return preempted;
    }
  }
  return FindReservation(
      job, ReservationInput{m_state.snapshot(), m_state.stable_free(), *m_state.policy().placer,
                            *m_state.policy().estimate});
}

std::optional<Reservation> QueueStage::PreemptLongRunning(const WaitingJob& job) {
  const Milliseconds starvation_limit = m_state.policy().starvation_limit;
  if (job.waiting_for < starvation_limit) {
    return std::nullopt;
  }
  std::optional<VictimChoice> best;
  const ZoneRange* best_zone = nullptr;
  for (const ZoneRange& zone : m_state.future_free().zones()) {
    std::vector<const GangView*> candidates;
    for (const GangView& gang : m_state.snapshot().gangs) {
      const bool is_candidate = gang.zone == zone.zone && gang.claim == Claim::kBorrowed &&
                                m_state.IsRunning(gang) && gang.urgency == Urgency::kNormal &&
                                gang.running_for >= starvation_limit;
      if (is_candidate) {
        candidates.push_back(&gang);
      }
    }
    std::optional<VictimChoice> choice =
        ChooseVictims(job.shape, candidates, m_state.future_free(), zone);
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
                 fmt::format("preempted for job '{}', which has waited too long", job.job.text()));
  }
  std::optional<PlacementChoice> placement =
      m_state.policy().placer->FindPlacementInZone(job.shape, m_state.future_free(), *best_zone);
  if (!placement) {
    return std::nullopt;
  }
  return Reservation{job.job, *std::move(placement), Milliseconds{0}};
}

}  // namespace papayalift
