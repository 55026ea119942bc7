#include "libraries/node/renewal_rule.h"

#include <algorithm>

namespace papayalift {

namespace {

/// A third of the run lease: the rest is left for another node to take over.
constexpr Milliseconds kConfirmedLimit{5'000};
/// Three heartbeats.
constexpr Milliseconds kStatementLimit{1'500};

/// Whether `peer` surely could not reach the key-value service a moment ago, and says all it stops.
bool SaysUnreachable(const std::optional<PeerState>& peer, Milliseconds now) {
  return peer && peer->written_after && now - *peer->written_after <= kStatementLimit &&
         peer->heartbeat.store == StoreContact::kUnreachable &&
         peer->heartbeat.stopping_coverage == ListCoverage::kWhole;
}

}  // namespace

std::optional<RenewalBasis> RenewalBasisOf(Milliseconds now,
                                           std::optional<Milliseconds> confirmed_at,
                                           const PeerStatements& statements) {
  if (confirmed_at && now - *confirmed_at <= kConfirmedLimit) {
    return RenewalBasis{*confirmed_at, {}};
  }
  RenewalBasis basis;
  basis.dated_at = now;
  for (const std::optional<PeerState>& peer : statements) {
    if (!SaysUnreachable(peer, now)) {
      return std::nullopt;
    }
    basis.dated_at = std::min(basis.dated_at, *peer->written_after);
    basis.stopping.insert(peer->heartbeat.stopping.begin(), peer->heartbeat.stopping.end());
  }
  return basis;
}

}  // namespace papayalift
