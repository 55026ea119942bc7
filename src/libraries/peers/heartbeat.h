/// The heartbeat that entry nodes exchange twice a second.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

enum class NodePhase {
  /// Not yet known to every registered node, so it owns nothing.
  kJoining,
  kServing,
  /// Shutting down and handing over what it owns.
  kLeaving,
};

enum class StoreContact { kReachable, kUnreachable };

/// Whether a list is complete or was truncated.
enum class ListCoverage { kComplete, kTruncated };

/// Whether the sender has promised to accept no operator change for the length of a hold.
enum class HoldPromise { kNone, kGiven };

struct Heartbeat {
  NodeId node;
  /// Unique to each start of the process with this node id.
  std::string incarnation;
  NodePhase phase = NodePhase::kJoining;
  BundleVersion bundle;
  ZoneEpoch zones;
  /// The latest revision of the key-value service that the sender has applied.
  Revision seen;
  StoreContact store = StoreContact::kUnreachable;
  /// Time since the key-value service last answered the sender.
  Milliseconds store_silence{0};
  HoldPromise hold = HoldPromise::kNone;
  /// Send time on the sender's clock.
  Milliseconds sent_at{0};
  /// The latest `sent_at` that the sender has received from the receiver; 0 if none. Lets the
  /// receiver bound the age of this message on its own clock: it was written after that time.
  Milliseconds echo{0};
  /// The incarnation of the receiver that sent `echo`.
  std::string echo_incarnation;
  /// Attempts that the sender knows to be stopping; sent only while it can't reach the store.
  std::vector<AttemptId> stopping;
  ListCoverage stopping_coverage = ListCoverage::kComplete;
};

}  // namespace papayalift
