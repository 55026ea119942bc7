#include "libraries/node/hold_promises.h"

#include <algorithm>

namespace papayalift {

namespace {

/// How long a node that gave a promise accepts no operator change, by its own clock.
constexpr Milliseconds kPromiseDuration{1'500};
/// How long the holder relies on a promise, by the holder's clock. Shorter, to allow for clock
/// drift.
constexpr Milliseconds kHeldPromiseDuration{1'400};

}  // namespace

HoldPromises::HoldPromises(const Clock& clock, const StoreProgress& progress)
    : m_clock(clock), m_progress(progress), m_started_at(clock.Now()) {}

HoldPromise HoldPromises::TryGivePromise() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!MayGivePromiseLocked()) {
    return HoldPromise::kNone;
  }
  m_promised_until = m_clock.Now() + kPromiseDuration;
  return HoldPromise::kGiven;
}

KnownChanges HoldPromises::own_changes() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_own_changes;
}

bool HoldPromises::TryBeginChange() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Milliseconds now = m_clock.Now();
  // An earlier process of this node may have given a promise: wait until it would have expired.
  const bool promised =
      now < m_started_at + kPromiseDuration || (m_promised_until && now < *m_promised_until);
  if (promised) {
    return false;
  }
  ++m_changes_under_way;
  return true;
}

void HoldPromises::EndChange(ChangeResult result, const KnownChanges& changes) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  --m_changes_under_way;
  if (result == ChangeResult::kApplied) {
    m_own_changes.zones = std::max(m_own_changes.zones, changes.zones);
    m_own_changes.bundle = std::max(m_own_changes.bundle, changes.bundle);
  } else if (result == ChangeResult::kUnclear) {
    m_unclear_since = m_clock.Now();
  }
}

bool HoldPromises::HoldsAllPromises(const std::vector<std::optional<PeerState>>& peer_states,
                                    const KnownChanges& seen) {
  const Milliseconds now = m_clock.Now();
  for (const std::optional<PeerState>& peer : peer_states) {
    const bool holds = peer && peer->heartbeat.hold == HoldPromise::kGiven && peer->written_after &&
                       now - *peer->written_after < kHeldPromiseDuration &&
                       peer->heartbeat.zones <= seen.zones && peer->heartbeat.bundle <= seen.bundle;
    if (!holds) {
      return false;
    }
  }
  const bool own = TryGivePromise() == HoldPromise::kGiven;
  const KnownChanges made = own_changes();
  return own && made.zones <= seen.zones && made.bundle <= seen.bundle;
}

bool HoldPromises::MayGivePromiseLocked() {
  if (m_unclear_since && m_progress.ConfirmedSince(*m_unclear_since)) {
    m_unclear_since.reset();
  }
  return m_progress.contact() == StoreContact::kUnreachable && m_changes_under_way == 0 &&
         !m_unclear_since;
}

}  // namespace papayalift
