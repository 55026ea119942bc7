#include "libraries/node/renewal_rule.h"

#include <algorithm>

namespace papayalift {

namespace {

/// A third of the run lease, which leaves the rest for another node to take over.
constexpr Milliseconds kMaxConfirmationAge{5'000};
/// Three heartbeats.
constexpr Milliseconds kMaxPeerStateAge{1'500};

/// Whether `peer` recently reported that it can't reach the key-value service, with a complete list
/// of the attempts that it is stopping.
bool ReportsUnreachable(const std::optional<PeerState>& peer, Milliseconds now) {
  return peer && peer->written_after && now - *peer->written_after <= kMaxPeerStateAge &&
         peer->heartbeat.store == StoreContact::kUnreachable &&
         peer->heartbeat.stopping_coverage == ListCoverage::kComplete;
}

}  // namespace

std::optional<RenewalBasis> RenewalBasisOf(Milliseconds now,
                                           std::optional<Milliseconds> confirmed_at,
                                           const PeerStates& peer_states) {
  if (confirmed_at && now - *confirmed_at <= kMaxConfirmationAge) {
    return RenewalBasis{*confirmed_at, {}};
  }
  RenewalBasis basis;
  basis.lease_start = now;
  for (const std::optional<PeerState>& peer : peer_states) {
    if (!ReportsUnreachable(peer, now)) {
      return std::nullopt;
    }
    basis.lease_start = std::min(basis.lease_start, *peer->written_after);
    basis.stopping.insert(peer->heartbeat.stopping.begin(), peer->heartbeat.stopping.end());
  }
  return basis;
}

}  // namespace papayalift
