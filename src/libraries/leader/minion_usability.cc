#include "libraries/leader/minion_usability.h"

#include <algorithm>
#include <array>

#include "libraries/leader/task_isolation.h"

namespace papayalift {

namespace {

bool IsHeartbeatOverdue(const LeaderState& state, const TrackedMinion& minion,
                        Milliseconds max_heartbeat_age) {
  return state.has_heartbeats &&
         state.registry_heard_at - minion.entry_heard_at > max_heartbeat_age;
}

}  // namespace

bool RegistryAllowsWork(const LeaderState& state, const TrackedMinion& minion,
                        Milliseconds max_heartbeat_age) {
  return minion.entry.has_value() && minion.entry->state == MinionState::kReady &&
         !IsHeartbeatOverdue(state, minion, max_heartbeat_age) &&
         !state.evacuated_zones.contains(minion.entry->zone);
}

std::string UnusableCauseText(UnusableCause cause) {
  static constexpr std::array<const char*, kUnusableCauses> kTexts = {
      "registry", "no_report", "unanswered_call", "probation", "avoided"};
  return kTexts[static_cast<std::size_t>(cause)];
}

std::optional<UnusableCause> FindUnusableCause(const LeaderState& state,
                                               const TrackedMinion& minion,
                                               Milliseconds max_heartbeat_age, Milliseconds now) {
  if (!RegistryAllowsWork(state, minion, max_heartbeat_age)) {
    return UnusableCause::kRegistry;
  }
  if (!minion.has_reported || minion.incarnation != minion.entry->incarnation) {
    return UnusableCause::kNoReport;
  }
  if (minion.unanswered_calls > 0 || !state.MayGrantLease(minion.id)) {
    return UnusableCause::kUnansweredCall;
  }
  if (HasRunOnProbation(minion)) {
    return UnusableCause::kProbation;
  }
  if (now < minion.health.avoid_until) {
    return UnusableCause::kAvoided;
  }
  return std::nullopt;
}

Milliseconds RegistrationKnownAt(const LeaderState& state, const TrackedMinion& minion) {
  return std::max(state.registry_known_at, minion.entry_confirmed_at);
}

}  // namespace papayalift
