#include "libraries/planner/task_planner.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "libraries/planner/delay_cost.h"
#include "libraries/planner/gang_reservation.h"
#include "libraries/planner/isolation.h"
#include "libraries/planner/placement_search.h"
#include "libraries/planner/plan_capacity.h"
#include "libraries/planner/planning_order.h"
#include "libraries/planner/quota_stops.h"
#include "libraries/planner/rack_wait.h"
#include "libraries/planner/reclaim_search.h"
#include "libraries/planner/workspace_quotas.h"
#include "libraries/planner/workspace_shares.h"

namespace papayalift {

namespace {

class PlanningPass {
 public:
  explicit PlanningPass(const PlanSnapshot& snapshot)
      : m_snapshot(snapshot),
        m_capacity(snapshot),
        m_quotas(snapshot),
        m_is_stopped(snapshot.victims.size(), false) {}

  Plan Run() {
    std::vector<const PendingStep*> order =
        OrderSteps(m_snapshot, FindWorkspacesOverShare(m_snapshot));
    if (m_snapshot.starts.is_limited()) {
      PutStandingJobsFirst(order);
    }
    ReserveForGangs(WithinQuota(order), m_capacity);
    for (const PendingStep* const pending : order) {
      PlanStep(*pending);
    }
    return std::move(m_plan);
  }

 private:
  /// While not all can be started that has room, a job of which nothing has run for a while gets
  /// one task before others get more, and after what is within a guarantee.
  static void PutStandingJobsFirst(std::vector<const PendingStep*>& order) {
    std::stable_partition(order.begin(), order.end(), [](const PendingStep* step) {
      return step->is_guaranteed || IsStanding(*step);
    });
    std::stable_partition(order.begin(), order.end(),
                          [](const PendingStep* step) { return step->is_guaranteed; });
  }

  static bool IsStanding(const PendingStep& step) {
    return !step.job_has_runs && step.waited >= kMaxWaitBesideRoom;
  }

  /// The steps that their quotas let start, for which minions are worth holding.
  std::vector<const PendingStep*> WithinQuota(const std::vector<const PendingStep*>& steps) const {
    std::vector<const PendingStep*> allowed;
    std::copy_if(steps.begin(), steps.end(), std::back_inserter(allowed),
                 [this](const PendingStep* step) { return m_quotas.TasksAllowed(*step) > 0; });
    return allowed;
  }

  /// Plans as many tasks of the step as may be started in this pass.
  void PlanStep(const PendingStep& pending) {
    const std::int64_t waiting = static_cast<std::int64_t>(pending.task_indexes.size());
    const std::int64_t allowed = StartsAllowed(pending);
    if (allowed <= 0) {
      Wait(pending, pending.task_indexes.size(), WaitReason::kLeaderBehind);
    } else if (allowed < waiting && pending.spec.kind != WorkStepKind::kGang) {
      PlanAllowedTasks(FirstTasks(pending, allowed));
      Wait(pending, static_cast<std::size_t>(waiting - allowed), WaitReason::kLeaderBehind);
    } else {
      PlanAllowedTasks(pending);
    }
  }

  std::int64_t StartsAllowed(const PendingStep& pending) const {
    const StartAllowance& starts = m_snapshot.starts;
    if (pending.is_guaranteed) {
      return starts.guaranteed_tasks - m_started;
    }
    const std::int64_t per_step =
        starts.is_limited() && IsStanding(pending) ? 1 : starts.tasks_per_step;
    return std::min(starts.tasks - m_started, per_step);
  }

  void PlanAllowedTasks(const PendingStep& pending) {
    const std::int64_t waiting = static_cast<std::int64_t>(pending.task_indexes.size());
    const std::int64_t allowed = m_quotas.TasksAllowed(pending);
    if (allowed == waiting) {
      PlanWithinQuota(pending);
    } else if (MayStopOthers(pending) && FitsWithStops(pending) && StopForQuota(pending)) {
      if (!PlanWithStops(pending)) {
        Wait(pending, pending.task_indexes.size(), WaitReason::kStops);
      }
    } else {
      if (allowed > 0) {
        PlanWithinQuota(FirstTasks(pending, allowed));
      }
      Wait(pending, static_cast<std::size_t>(waiting - allowed), WaitReason::kQuota);
    }
  }

  void PlanWithinQuota(const PendingStep& pending) {
    if (pending.spec.kind == WorkStepKind::kGang) {
      PlanGang(pending);
    } else {
      PlanIndependentTasks(pending);
    }
  }

  /// The step with the first of its waiting tasks only.
  static PendingStep FirstTasks(const PendingStep& pending, std::int64_t tasks) {
    PendingStep first = pending;
    first.task_indexes.resize(static_cast<std::size_t>(tasks));
    std::erase_if(first.isolated, [&first](int index) {
      return std::find(first.task_indexes.begin(), first.task_indexes.end(), index) ==
             first.task_indexes.end();
    });
    return first;
  }

  /// Whether there is room for the step once runs have ended, so that stops for its quota help it.
  bool FitsWithStops(const PendingStep& pending) const {
    return FindReclaim(pending, m_capacity, m_snapshot, m_is_stopped).has_value();
  }

  /// Stops runs of the step's own workspace until its quota has room for all waiting tasks. Returns
  /// false if that does not help.
  bool StopForQuota(const PendingStep& pending) {
    const std::optional<std::vector<std::size_t>> victims =
        FindQuotaStops(pending, m_quotas, m_snapshot, m_is_stopped);
    if (!victims.has_value()) {
      return false;
    }
    for (const std::size_t index : *victims) {
      StopVictim(index, pending.job);
    }
    return true;
  }

  /// Starts the isolated tasks for which there are minions without runs. Returns the rest of the
  /// step, which has isolated tasks only if they have waited too long.
  PendingStep PlanIsolatedTasks(const PendingStep& pending) {
    const std::vector<PlannedPlacement> placements = FindIsolatedPlacements(pending, m_capacity);
    if (!placements.empty()) {
      StartIsolated(pending, FoundPlacements{placements, true});
    }
    PendingStep rest = WithoutPlaced(pending, placements);
    if (rest.isolated.empty()) {
      return rest;
    }
    if (!HasWaitedForIsolation(pending, m_capacity)) {
      ReserveForIsolation(pending);
      Wait(pending, rest.isolated.size(), WaitReason::kIsolation);
      return WithoutIsolated(rest);
    }
    const std::vector<PlannedPlacement> beside = PlaceOnEmptiest(rest);
    if (!beside.empty()) {
      StartIsolated(pending, FoundPlacements{beside, true});
    }
    return WithoutPlaced(rest, beside);
  }

  std::vector<PlannedPlacement> PlaceOnEmptiest(const PendingStep& pending) const {
    const int index = *pending.isolated.begin();
    const std::optional<MinionId> minion =
        FindEmptiestMinion(pending, m_capacity, pending.spec.needs);
    if (!minion.has_value() || !MayAddTask(pending, *minion)) {
      return {};
    }
    return {PlannedPlacement{index, *minion}};
  }

  static bool MayAddTask(const PendingStep& pending, const MinionId& minion) {
    const auto placed = pending.placed_on_minion.find(minion);
    return pending.spec.max_tasks_per_worker == 0 || placed == pending.placed_on_minion.end() ||
           placed->second < pending.spec.max_tasks_per_worker;
  }

  void StartIsolated(const PendingStep& pending, const FoundPlacements& found) {
    Start(pending, found);
    for (const PlannedPlacement& placement : found.placements) {
      if (pending.isolated.contains(placement.index)) {
        m_capacity.Occupy(placement.minion);
      }
    }
  }

  /// Keeps the emptiest minion free of new tasks, so that one without runs becomes available. Only
  /// one in each pass, to leave the others to tasks that are not suspected.
  void ReserveForIsolation(const PendingStep& pending) {
    if (m_has_reserved_minion) {
      return;
    }
    if (const std::optional<MinionId> minion =
            FindEmptiestMinion(pending, m_capacity, Resources{})) {
      m_capacity.ReserveMinion(*minion);
      m_has_reserved_minion = true;
    }
  }

  /// Returns whether the gang is done with: it starts, or waits for minions for its isolated
  /// members.
  bool PlanIsolatedGang(const PendingStep& pending) {
    const std::optional<FoundPlacements> found = FindIsolatedGang(pending, m_capacity);
    if (found.has_value()) {
      StartIsolated(pending, *found);
      return true;
    }
    if (HasWaitedForIsolation(pending, m_capacity)) {
      return false;
    }
    ReserveForIsolation(pending);
    Wait(pending, pending.task_indexes.size(), WaitReason::kIsolation);
    return true;
  }

  void PlanGang(const PendingStep& pending) {
    if (!pending.isolated.empty() && PlanIsolatedGang(pending)) {
      return;
    }
    const std::int64_t wanted =
        pending.spec.needs.accelerators * static_cast<std::int64_t>(pending.task_indexes.size());
    const std::optional<FoundPlacements> found =
        wanted > m_capacity.free_accelerators()
            ? std::nullopt
            : FindGangPlacements(pending, m_capacity, &MinionCapacity::free);
    if (found.has_value() && (found->meets_rack_preference || !pending.is_guaranteed ||
                              HasSpentRackHold(pending, m_capacity))) {
      m_capacity.ReleaseHolds(pending);
      Start(pending, *found);
    } else {
      PlanRest(pending);
    }
  }

  /// Plans waiting tasks for which there is no capacity at once.
  void PlanRest(const PendingStep& rest) {
    if (MayStopOthers(rest) && PlanWithStops(rest)) {
      return;
    }
    if (MayUseAvoidedMinions(rest)) {
      PlanOnAvoidedMinions(rest);
    } else {
      Wait(rest, rest.task_indexes.size(), FindWaitReason(rest, m_capacity));
    }
  }

  /// A job with nothing running is not left waiting beside minions on which tasks of others have
  /// failed.
  bool MayUseAvoidedMinions(const PendingStep& rest) const {
    return !rest.may_use_avoided && !rest.job_has_runs && rest.waited >= kMaxWaitBesideRoom &&
           m_capacity.HasSpareCapacity(rest.service);
  }

  void PlanOnAvoidedMinions(const PendingStep& rest) {
    PendingStep last_resort = rest;
    last_resort.may_use_avoided = true;
    if (rest.spec.kind == WorkStepKind::kGang) {
      PlanGang(last_resort);
    } else {
      PlanTasksTogether(last_resort);
    }
  }

  static bool MayStopOthers(const PendingStep& pending) {
    return pending.is_guaranteed || pending.max_lost_work > 0;
  }

  void PlanIndependentTasks(const PendingStep& pending) {
    if (pending.isolated.empty()) {
      PlanTasksTogether(pending);
      return;
    }
    const PendingStep rest = PlanIsolatedTasks(pending);
    if (!rest.task_indexes.empty()) {
      PlanTasksTogether(rest);
    }
  }

  void PlanTasksTogether(const PendingStep& pending) {
    const FoundPlacements found = FindTaskPlacements(pending, m_capacity, &MinionCapacity::free);
    if (!found.placements.empty()) {
      Start(pending, found);
    }
    if (found.placements.size() < pending.task_indexes.size()) {
      PendingStep rest = pending;
      rest.job_has_runs = rest.job_has_runs || !found.placements.empty();
      rest.task_indexes.erase(
          rest.task_indexes.begin(),
          rest.task_indexes.begin() + static_cast<std::ptrdiff_t>(found.placements.size()));
      for (const PlannedPlacement& placement : found.placements) {
        ++rest.placed_on_minion[placement.minion];
      }
      PlanRest(rest);
    }
  }

  /// Handles a step that does not fit yet and may stop others: reserves the capacity of runs that
  /// are being stopped, and stops more if necessary. Returns false if that does not help.
  bool PlanWithStops(const PendingStep& pending) {
    const std::optional<FoundReclaim> found =
        FindReclaim(pending, m_capacity, m_snapshot, m_is_stopped);
    if (!found.has_value()) {
      return false;
    }
    const std::int64_t tasks = static_cast<std::int64_t>(found->placements.size());
    if (found->victims.empty() && m_quotas.TasksAllowed(pending) >= tasks &&
        FitsCapacity(pending, found->placements, &MinionCapacity::free)) {
      Start(pending, FoundPlacements{found->placements, true});
      return true;
    }
    const bool waits_for_rack =
        HasRackPreference(pending) && FitsAnywhere(pending, m_capacity, &MinionCapacity::free);
    for (const std::size_t index : found->victims) {
      StopVictim(index, pending.job);
    }
    const bool waits_for_ends =
        !FitsCapacity(pending, found->placements, &MinionCapacity::free_after_stops);
    for (const PlannedPlacement& placement : found->placements) {
      m_capacity.Reserve(placement.minion, pending.spec.needs);
    }
    m_quotas.Add(pending, tasks);
    m_served.insert_or_assign(pending.service, pending.job);
    Wait(pending, pending.task_indexes.size(),
         waits_for_rack   ? WaitReason::kRack
         : waits_for_ends ? WaitReason::kNoCapacity
                          : WaitReason::kStops);
    return true;
  }

  /// Whether placements that were found in the capacity after stops and ends also fit another.
  bool FitsCapacity(const PendingStep& pending, const std::vector<PlannedPlacement>& placements,
                    CapacityMember member) {
    std::map<MinionId, std::int64_t> counts;
    for (const PlannedPlacement& placement : placements) {
      ++counts[placement.minion];
    }
    return std::all_of(counts.begin(), counts.end(), [this, &pending, member](const auto& entry) {
      return (pending.spec.needs * entry.second).Fits(m_capacity.Find(entry.first)->*member);
    });
  }

  void StopVictim(std::size_t index, const JobId& beneficiary) {
    const PlanVictim& victim = m_snapshot.victims[index];
    m_is_stopped[index] = true;
    for (const PlannedPlacement& placement : victim.placements) {
      m_capacity.AddBeingFreed(placement.minion, victim.needs_per_task);
    }
    m_quotas.AddBeingFreed(victim.workspace, victim.needs_per_task * static_cast<std::int64_t>(
                                                                         victim.placements.size()));
    m_plan.stops.push_back(PlannedStop{victim.job, victim.step, victim.placements, beneficiary,
                                       victim.unsaved_work, CostOfStop(victim, m_snapshot.policy)});
  }

  void Wait(const PendingStep& pending, std::size_t tasks, WaitReason reason) {
    m_plan.waits.push_back(PlannedWait{
        pending.job, pending.step, pending.service, pending.workspace, static_cast<int>(tasks),
        reason, pending.slack, pending.worthless_slack, PreferredBefore(pending)});
  }

  JobId PreferredBefore(const PendingStep& pending) const {
    const auto served = m_served.find(pending.service);
    return served == m_served.end() || served->second == pending.job ? JobId() : served->second;
  }

  void Start(const PendingStep& pending, const FoundPlacements& found) {
    m_served.insert_or_assign(pending.service, pending.job);
    for (const PlannedPlacement& placement : found.placements) {
      m_capacity.Allocate(placement.minion, pending.spec.needs, pending.spec.estimate);
    }
    m_started += static_cast<std::int64_t>(found.placements.size());
    m_quotas.Add(pending, static_cast<std::int64_t>(found.placements.size()));
    std::string reason = found.meets_rack_preference ? "capacity on preferred racks"
                                                     : "no capacity on the preferred rack";
    if (const std::string speed = SpeedReasonOf(pending, m_capacity, found.placements);
        !speed.empty()) {
      reason += "; " + speed;
    }
    m_plan.starts.push_back(
        PlannedStart{pending.job, pending.step, found.placements, std::move(reason)});
  }

  const PlanSnapshot& m_snapshot;
  PlanCapacity m_capacity;
  WorkspaceQuotas m_quotas;
  std::vector<bool> m_is_stopped;
  bool m_has_reserved_minion = false;
  /// Tasks that this pass starts.
  std::int64_t m_started = 0;
  /// The last job that was given capacity of each service.
  std::map<ServiceId, JobId> m_served;
  Plan m_plan;
};

}  // namespace

Plan PlanTasks(const PlanSnapshot& snapshot) { return PlanningPass(snapshot).Run(); }

}  // namespace papayalift
