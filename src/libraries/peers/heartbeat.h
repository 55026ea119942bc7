/// What entry nodes tell each other twice a second.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

enum class NodePhase {
  /// Not yet known to every registered node: owns nothing.
  kJoining,
  kServing,
  /// Stopping: hands over what it owns.
  kLeaving,
};

enum class StoreContact { kReachable, kUnreachable };

/// Whether a list names all there are.
enum class ListCoverage { kComplete, kTruncated };

/// Whether the sender accepts no operator change for the time of a hold promise.
enum class HoldPromise { kNone, kGiven };

struct Heartbeat {
  NodeId node;
  /// Differs for each start of a process with this id.
  std::string incarnation;
  NodePhase phase = NodePhase::kJoining;
  BundleVersion bundle;
  ZoneEpoch zones;
  /// The revision that the sender has followed the key-value service to.
  Revision seen;
  StoreContact store = StoreContact::kUnreachable;
  /// How long ago the key-value service last answered the sender.
  Milliseconds store_silence{0};
  HoldPromise hold = HoldPromise::kNone;
  /// On the sender's clock.
  Milliseconds sent_at{0};
  /// The newest `sent_at` that the sender has heard from the receiver; 0 for none. It dates this
  /// message on the receiver's own clock: it was written after that moment.
  Milliseconds echo{0};
  /// The incarnation of the receiver whose clock `echo` is from.
  std::string echo_incarnation;
  /// Attempts that the sender knows to be stopping; only told while it can't reach the store.
  std::vector<AttemptId> stopping;
  ListCoverage stopping_coverage = ListCoverage::kComplete;
};

}  // namespace papayalift
