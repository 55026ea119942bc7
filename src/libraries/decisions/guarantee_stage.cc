#include "libraries/decisions/guarantee_stage.h"

#include <fmt/format.h>

#include <algorithm>

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
    : m_state(state), m_book(state.snapshot(), state.empty()) {}

void GuaranteeStage::Run(const std::vector<const WaitingJob*>& order) {
  for (const WaitingJob* job : order) {
    Consider(*job);
  }
}

void GuaranteeStage::Consider(const WaitingJob& job) {
  const std::optional<GuaranteeClaim> claim = m_book.ClaimOf(job);
  const bool possible = claim && !m_unproved.contains({job.workspace, job.shape}) &&
                        !m_state.quotas().WhyNot(job).has_value();
  if (!possible) {
    return;
  }
  const bool decided = StartOnFree(job, *claim, m_state.settled()) ||
                       StartOnFree(job, *claim, m_state.free()) || StartBorrowed(job) ||
                       Reclaim(job, *claim);
  if (!decided) {
    m_unproved.insert({job.workspace, job.shape});
    m_state.Wait(job, WaitCause::kGuarantees,
                 "with it, not all guarantees of other workspaces could be reclaimed");
  }
}

bool GuaranteeStage::StartOnFree(const WaitingJob& job, const GuaranteeClaim& claim,
                                 const CapacityMap& free) {
  const CapacityMap usable = free.CommonWith(m_book.reclaimable());
  for (const PlacementChoice& blocks :
       m_state.policy().placer->PlaceInEachZone(claim.blocks, usable)) {
    if (m_book.StaysReclaimableWith(claim, blocks.zone, blocks.tasks)) {
      m_book.Take(claim, blocks.zone, blocks.tasks);
      m_state.Start(job, {blocks.zone, TasksInBlocks(job.shape, blocks.tasks)}, Claim::kGuaranteed,
                    fmt::format("guaranteed to workspace '{}'", job.workspace.text()));
      return true;
    }
  }
  return false;
}

bool GuaranteeStage::StartBorrowed(const WaitingJob& job) {
  const std::optional<PlacementChoice> choice =
      m_state.policy().placer->Place(job.shape, m_state.settled());
  if (choice) {
    m_state.Start(job, *choice, Claim::kBorrowed,
                  "room for the whole gang, though not where a guarantee could be");
  }
  return choice.has_value();
}

bool GuaranteeStage::Reclaim(const WaitingJob& job, const GuaranteeClaim& claim) {
  std::optional<Plan> plan = BestPlan(claim);
  if (!plan) {
    plan = ProvenPlan(claim);
  }
  if (!plan) {
    return false;
  }
  for (const GangView* victim : plan->choice.victims) {
    m_state.Stop(*victim, StopCause::kReclaim, job.job,
                 fmt::format("reclaimed for job '{}' of workspace '{}'", job.job.text(),
                             job.workspace.text()));
  }
  m_book.Take(claim, plan->blocks.zone, plan->blocks.tasks);
  m_state.SetAside(plan->blocks.tasks);
  m_state.Wait(job, WaitCause::kReclaiming,
               fmt::format("its guaranteed accelerators in zone '{}' are being reclaimed",
                           plan->blocks.zone.text()));
  return true;
}

std::optional<GuaranteeStage::Plan> GuaranteeStage::BestPlan(const GuaranteeClaim& claim) const {
  const CapacityMap arriving = m_state.arriving().CommonWith(m_book.reclaimable());
  std::optional<Plan> best;
  for (const ZoneRange& zone : arriving.zones()) {
    std::optional<Plan> plan = PlanInZone(claim, zone, arriving);
    const bool better = plan && (!best || IsBetter(plan->choice, best->choice));
    if (better && m_book.StaysReclaimableWith(claim, zone.zone, plan->blocks.tasks)) {
      best = std::move(plan);
    }
  }
  return best;
}

std::optional<GuaranteeStage::Plan> GuaranteeStage::PlanInZone(const GuaranteeClaim& claim,
                                                               const ZoneRange& zone,
                                                               const CapacityMap& arriving) const {
  std::optional<VictimChoice> choice =
      ChooseVictims(claim.blocks, CandidatesIn(zone.zone), arriving, zone);
  if (!choice) {
    return std::nullopt;
  }
  CapacityMap later = arriving;
  for (const GangView* victim : choice->victims) {
    later.Release(victim->tasks);
  }
  std::optional<PlacementChoice> blocks = m_state.policy().placer->PlaceInZone(
      claim.blocks, later.CommonWith(m_book.reclaimable()), zone);
  if (!blocks) {
    return std::nullopt;
  }
  return Plan{*std::move(blocks), *std::move(choice)};
}

std::optional<GuaranteeStage::Plan> GuaranteeStage::ProvenPlan(const GuaranteeClaim& claim) const {
  std::optional<std::pair<ZoneId, std::vector<TaskPlacement>>> blocks =
      m_book.ReclaimableBlocks(claim);
  if (!blocks) {
    return std::nullopt;
  }
  Plan plan;
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
    if (gang.zone == zone && m_state.IsRunning(gang) && !m_book.IsGuaranteed(gang.job)) {
      candidates.push_back(&gang);
    }
  }
  return candidates;
}

}  // namespace papayalift
