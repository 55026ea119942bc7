#include "libraries/node/stopping_attempts.h"

namespace papayalift {

std::vector<AttemptId> StoppingAttempts(const FleetView& view, const SessionRunner& runner) {
  std::vector<AttemptId> stopping;
  for (const auto& [job, placement] : view.placements) {
    if (placement->value.phase == PlacementPhase::kStopping || runner.IsBusy(job)) {
      stopping.push_back(placement->value.attempt_id);
    }
  }
  return stopping;
}

}  // namespace papayalift
