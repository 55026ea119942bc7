#include "libraries/leader/minion_usability.h"

#include <algorithm>

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

Milliseconds RegistrationKnownAt(const LeaderState& state, const TrackedMinion& minion) {
  return std::max(state.registry_known_at, minion.entry_confirmed_at);
}

}  // namespace papayalift
