#include "libraries/decisions/decide.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "libraries/decisions/guarantee_stage.h"
#include "libraries/decisions/pass_state.h"
#include "libraries/decisions/queue_stage.h"
#include "libraries/decisions/victim_choice.h"

namespace papayalift {

namespace {

/// Committed gangs in zones that were taken out, those with the most work since their last
/// checkpoint first, so that it is saved while the zone is still reachable.
std::vector<const GangView*> GangsInZonesOut(const Snapshot& snapshot) {
  std::vector<const GangView*> gangs;
  for (const GangView& gang : snapshot.gangs) {
    const bool out = snapshot.zones.StateOf(gang.zone) == ZoneState::kOut;
    if (out && gang.phase == PlacementPhase::kCommitted) {
      gangs.push_back(&gang);
    }
  }
  std::stable_sort(gangs.begin(), gangs.end(), [](const GangView* left, const GangView* right) {
    return WorkLostBy(*left) > WorkLostBy(*right);
  });
  return gangs;
}

void StopGangsInZonesOut(PassState& state) {
  for (const GangView* gang : GangsInZonesOut(state.snapshot())) {
    state.Stop(*gang, StopCause::kZoneOut, JobId(),
               fmt::format("zone '{}' was taken out", gang->zone.text()));
  }
}

}  // namespace

Decision Decide(const Snapshot& snapshot, const Policy& policy) {
  PassState state(snapshot, policy);
  StopGangsInZonesOut(state);
  if (policy.guarantee_rule == GuaranteeRule::kReclaim) {
    GuaranteeStage(state).Run();
  }
  QueueStage(state).Run(policy.order->Sort(snapshot.waiting));
  return state.TakeDecision();
}

}  // namespace papayalift
