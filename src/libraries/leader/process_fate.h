/// Tells whether a minion's process has ended. The only place that decides on it: a run counts as
/// lost in a crash, and is given up before its leases have expired, only by what stands here.
#pragma once

#include <string>

#include "libraries/leader/leader_state.h"

namespace papayalift {

/// One process of a minion, and the address at which it was reached.
struct MinionProcess {
  MinionId minion;
  MinionIncarnation incarnation;
  std::string address;
};

enum class ProcessFate {
  /// It does not answer, and nothing shows why.
  kUnknown,
  /// It has answered the last call.
  kRunning,
  kEnded,
};

/// What has become of the process. It has ended if
/// - the minion answers as another process,
/// - the minion's registration is of a later process, or
/// - it is not registered, or another minion answers at its address, and a minion that started
/// later
///   is registered there.
///
/// NOTE: calls that fail prove nothing, however they fail: a cut that resets refuses connections to
/// a minion that works on. Nor does a missing registration: the minion may be cut off from the
/// store.
ProcessFate FateOfProcess(const LeaderState& state, const MinionProcess& process);

/// Whether another minion answers at the address of the process, and one that started later is
/// registered there.
bool IsReplaced(const LeaderState& state, const MinionProcess& process);

/// Whether the minion is neither registered nor answers, and did not announce its end.
bool IsUnaccountedFor(const LeaderState& state, const MinionId& minion);

}  // namespace papayalift
