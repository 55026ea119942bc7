/// Whether a minion may be given work, by what is known of its registration.
#pragma once

#include "libraries/leader/leader_state.h"

namespace papayalift {

/// Whether the minion is registered and ready, its zone is in use, and its heartbeat is not
/// overdue: others' heartbeats have arrived, but none of this minion for longer than
/// `max_heartbeat_age`. Load that the last answers: a rack or zone is lost at once, and idle
/// minions there are asked for nothing.
bool RegistryAllowsWork(const LeaderState& state, const TrackedMinion& minion,
                        Milliseconds max_heartbeat_age);

/// The latest time at which the minion's registration is known to have been as it is held here.
Milliseconds RegistrationKnownAt(const LeaderState& state, const TrackedMinion& minion);

}  // namespace papayalift
