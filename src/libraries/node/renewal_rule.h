/// Decides whether a node that may be cut off from the store can renew the run leases of its gangs.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/peers/peer_table.h"

namespace papayalift {

/// Evidence that permits a round of renewals.
struct RenewalBasis {
  /// Every stop that its stopper knew of before this time is in this node's copy of the records or
  /// in `stopping`. Leases are counted from here, so that none outlasts the wait of a later stop.
  Milliseconds lease_start{0};
  /// Attempts that a peer may be stopping; they are not renewed.
  std::set<AttemptId> stopping;
};

/// The last state of each registered peer; nothing for one that has sent no heartbeat.
using PeerStates = std::vector<std::optional<PeerState>>;

/// Permits renewals if this node's copy of the records was confirmed recently, or if every
/// registered peer reports that it can't reach the key-value service either: then no node can take
/// over, and gangs keep running for as long as the outage lasts. Returns nothing where no gang may
/// be renewed.
std::optional<RenewalBasis> RenewalBasisOf(Milliseconds now,
                                           std::optional<Milliseconds> confirmed_at,
                                           const PeerStates& peer_states);

}  // namespace papayalift
