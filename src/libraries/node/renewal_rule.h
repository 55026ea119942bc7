/// When a node may renew the run leases of gangs although it may be cut off.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/peers/peer_table.h"

namespace papayalift {

/// What renewals rest on.
struct RenewalBasis {
  /// No stop was known to its stopper before this moment, but for those in `stopping`. A lease is
  /// counted from here, so that it never outlives the wait of a stop that was marked later.
  Milliseconds lease_start{0};
  /// Attempts that a peer may be stopping; these are not renewed.
  std::set<AttemptId> stopping;
};

/// The last statement of each registered peer; nothing for one that has not been heard.
using PeerStates = std::vector<std::optional<PeerState>>;

/// Renewals rest on a recent confirmation of this node's copy of the records, or else on every
/// registered peer saying that it can't reach the key-value service either: then nobody can take
/// over, and gangs go on for as long as the outage lasts. Nothing: renew no gang.
std::optional<RenewalBasis> RenewalBasisOf(Milliseconds now,
                                           std::optional<Milliseconds> confirmed_at,
                                           const PeerStates& peer_states);

}  // namespace papayalift
