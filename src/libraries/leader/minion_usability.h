/// Whether a minion may be given work, by what is known of its registration.
#pragma once

#include <optional>
#include <string>

#include "libraries/leader/leader_state.h"

namespace papayalift {

/// Why a registered minion gets no work.
enum class UnusableCause {
  /// It drains, its zone is evacuated, or its heartbeat is overdue.
  kRegistry,
  /// It has not answered in this term, or not as the process that is registered.
  kNoReport,
  /// Its last call was not answered.
  kUnansweredCall,
  /// It runs a task that may crash it.
  kProbation,
  /// Tasks have failed or stood still on it lately. It gets work as a last resort.
  kAvoided,
};

constexpr std::size_t kUnusableCauses = 5;

/// As named in logs and metrics, such as "no_report".
std::string UnusableCauseText(UnusableCause cause);

/// Why the minion gets no work at `now`; nullopt if it may. Minions that are not registered count
/// as kRegistry.
std::optional<UnusableCause> FindUnusableCause(const LeaderState& state,
                                               const TrackedMinion& minion,
                                               Milliseconds max_heartbeat_age, Milliseconds now);

/// Whether the minion is registered and ready, its zone is in use, and its heartbeat is not
/// overdue: others' heartbeats have arrived, but none of this minion for longer than
/// `max_heartbeat_age`. Load that the last answers: a rack or zone is lost at once, and idle
/// minions there are asked for nothing.
bool RegistryAllowsWork(const LeaderState& state, const TrackedMinion& minion,
                        Milliseconds max_heartbeat_age);

/// The latest time at which the minion's registration is known to have been as it is held here.
Milliseconds RegistrationKnownAt(const LeaderState& state, const TrackedMinion& minion);

}  // namespace papayalift
