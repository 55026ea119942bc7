#include "libraries/decisions/guarantee_stage.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

#include "libraries/decisions/guaranteed_shape.h"

namespace papayalift {

namespace {

bool Overlaps(const GangView& gang, const std::vector<TaskPlacement>& blocks) {
  return std::any_of(gang.tasks.begin(), gang.tasks.end(), [&blocks](const TaskPlacement& task) {
    return std::any_of(blocks.begin(), blocks.end(), [&task](const TaskPlacement& block) {
      return block.worker == task.worker && block.accelerators.Overlaps(task.accelerators);
    });
  });
}

}  // namespace

GuaranteeStage::GuaranteeStage(PassState& state)
    : m_state(state), m_tracker(state.snapshot(), state.total()) {}

void GuaranteeStage::Run() {
  std::vector<const WaitingJob*> order;
  for (const WaitingJob& job : m_state.snapshot().waiting) {
    order.push_back(&job);
  }
  // A stopped gang's waiting time starts again from zero, so it can't overtake the job it was
  // stopped for.
  std::stable_sort(order.begin(), order.end(), [](const WaitingJob* left, const WaitingJob* right) {
    return std::tuple(left->urgency == Urgency::kNormal, -left->waiting_for) <
           std::tuple(right->urgency == Urgency::kNormal, -right->waiting_for);
  });
  for (const WaitingJob* job : order) {
    ScheduleJob(*job);
  }
}

void GuaranteeStage::ScheduleJob(const WaitingJob& job) {
  const std::optional<GuaranteeClaim> claim = m_tracker.ClaimFor(job);
  if (!claim || m_unplaceable.contains({job.workspace, job.shape})) {
    return;
  }
  if (m_state.quotas().ExcessWith(job) > AcceleratorCount(0)) {
    Reclaim(job, *claim);
    return;
  }
  const bool decided = StartOnFreeCapacity(job, *claim, m_state.stable_free()) ||
                       StartOnFreeCapacity(job, *claim, m_state.free()) || Reclaim(job, *claim) ||
                       StartBorrowed(job);
  if (!decided) {
    m_unplaceable.insert({job.workspace, job.shape});
    m_state.Wait(job, WaitCause::kGuarantees,
                 "with it running, not all other unused guarantees could be reclaimed");
  }
}

bool GuaranteeStage::StartOnFreeCapacity(const WaitingJob& job, const GuaranteeClaim& claim,
                                         const CapacityMap& free) {
  const CapacityMap usable = free.IntersectWith(m_tracker.reclaimable());
  for (const PlacementChoice& blocks :
       m_state.policy().placer->FindPlacementInEachZone(claim.blocks, usable)) {
    if (m_tracker.LeavesOthersReclaimable(claim, blocks.zone, blocks.tasks)) {
      Start(job, claim, blocks);
      return true;
    }
  }
  return false;
}

void GuaranteeStage::Start(const WaitingJob& job, const GuaranteeClaim& claim,
                           const PlacementChoice& blocks) {
  m_tracker.Allocate(claim, blocks.zone, blocks.tasks);
  m_state.Start(job, {blocks.zone, TasksInBlocks(job.shape, blocks.tasks)}, Claim::kGuaranteed,
                fmt::format("guaranteed to workspace '{}'", job.workspace.text()));
}

bool GuaranteeStage::StartBorrowed(const WaitingJob& job) {
  const std::optional<PlacementChoice> choice =
      m_state.policy().placer->FindPlacement(job.shape, m_state.stable_free());
  if (choice) {
    m_state.Start(job, *choice, Claim::kBorrowed,
                  "the whole gang fits, but its guarantee can't be reclaimed now");
  }
  return choice.has_value();
}

bool GuaranteeStage::AddVictimsForQuota(const WaitingJob& job,
                                        std::vector<const GangView*>& victims) const {
  int missing = m_state.quotas().ExcessWith(job).value();
  std::vector<const GangView*> own_borrowed;
  for (const GangView& gang : m_state.snapshot().gangs) {
    if (gang.workspace != job.workspace || m_tracker.IsGuaranteed(gang.job)) {
      continue;
    }
    const bool is_stopping = !m_state.IsRunning(gang) ||
                             std::find(victims.begin(), victims.end(), &gang) != victims.end();
    if (is_stopping) {
      missing -= gang.shape.Total().value();
    } else {
      own_borrowed.push_back(&gang);
    }
  }
  std::stable_sort(own_borrowed.begin(), own_borrowed.end(),
                   [](const GangView* left, const GangView* right) {
                     return std::tuple(-left->shape.Total().value(), WorkLostBy(*left)) <
                            std::tuple(-right->shape.Total().value(), WorkLostBy(*right));
                   });
  for (const GangView* gang : own_borrowed) {
    if (missing > 0) {
      victims.push_back(gang);
      missing -= gang->shape.Total().value();
    }
  }
  return missing <= 0;
}

void GuaranteeStage::StopVictims(const WaitingJob& job,
                                 const std::vector<const GangView*>& victims) {
  for (const GangView* victim : victims) {
    m_state.Stop(*victim, StopCause::kReclaim, job.job,
                 fmt::format("reclaimed for job '{}' of workspace '{}'", job.job.text(),
                             job.workspace.text()));
  }
}

bool GuaranteeStage::Reclaim(const WaitingJob& job, const GuaranteeClaim& claim) {
  std::optional<ReclaimPlan> plan = BestPlan(claim);
  if (!plan) {
    plan = PlanFromPacking(claim);
  }
  if (!plan) {
    return false;
  }
  // The blocks from a packing can be free although the placer chose others that leave no packing.
  const bool has_quota = m_state.quotas().ExcessWith(job) == AcceleratorCount(0);
  if (has_quota && m_state.free().IsFree(plan->blocks.tasks)) {
    Start(job, claim, plan->blocks);
    return true;
  }
  std::vector<const GangView*> victims = plan->choice.victims;
  if (!AddVictimsForQuota(job, victims)) {
    return false;
  }
  StopVictims(job, victims);
  m_state.ChargeQuota(job);
  m_tracker.Allocate(claim, plan->blocks.zone, plan->blocks.tasks);
  m_state.Allocate(plan->blocks.tasks);
  m_state.Wait(job, WaitCause::kReclaiming,
               fmt::format("its guaranteed accelerators in zone '{}' are being reclaimed",
                           plan->blocks.zone.text()));
  return true;
}

std::optional<GuaranteeStage::ReclaimPlan> GuaranteeStage::BestPlan(
    const GuaranteeClaim& claim) const {
  const CapacityMap future_free = m_state.future_free().IntersectWith(m_tracker.reclaimable());
  std::optional<ReclaimPlan> best;
  for (const ZoneRange& zone : future_free.zones()) {
    std::optional<ReclaimPlan> plan = PlanInZone(claim, zone, future_free);
    const bool better = plan && (!best || IsBetter(plan->choice, best->choice));
    if (better && m_tracker.LeavesOthersReclaimable(claim, zone.zone, plan->blocks.tasks)) {
      best = std::move(plan);
    }
  }
  return best;
}

std::optional<GuaranteeStage::ReclaimPlan> GuaranteeStage::PlanInZone(
    const GuaranteeClaim& claim, const ZoneRange& zone, const CapacityMap& future_free) const {
  std::optional<VictimChoice> choice =
      ChooseVictims(claim.blocks, CandidatesIn(zone.zone), future_free, zone);
  if (!choice) {
    return std::nullopt;
  }
  CapacityMap later = future_free;
  for (const GangView* victim : choice->victims) {
    later.Release(victim->tasks);
  }
  std::optional<PlacementChoice> blocks = m_state.policy().placer->FindPlacementInZone(
      claim.blocks, later.IntersectWith(m_tracker.reclaimable()), zone);
  if (!blocks) {
    return std::nullopt;
  }
  return ReclaimPlan{*std::move(blocks), *std::move(choice)};
}

std::optional<GuaranteeStage::ReclaimPlan> GuaranteeStage::PlanFromPacking(
    const GuaranteeClaim& claim) const {
  std::optional<std::pair<ZoneId, std::vector<TaskPlacement>>> blocks =
      m_tracker.FindReclaimableBlocks(claim);
  if (!blocks) {
    return std::nullopt;
  }
  ReclaimPlan plan;
  for (const GangView* gang : CandidatesIn(blocks->first)) {
    if (Overlaps(*gang, blocks->second)) {
      plan.choice.victims.push_back(gang);
    }
  }
  plan.blocks = PlacementChoice{blocks->first, std::move(blocks->second)};
  return plan;
}

std::vector<const GangView*> GuaranteeStage::CandidatesIn(const ZoneId& zone) const {
  std::vector<const GangView*> candidates;
  for (const GangView& gang : m_state.snapshot().gangs) {
    if (gang.zone == zone && m_state.IsRunning(gang) && !m_tracker.IsGuaranteed(gang.job)) {
      candidates.push_back(&gang);
    }
  }
  return candidates;
}

}  // namespace papayalift
