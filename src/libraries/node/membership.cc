#include "libraries/node/membership.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace papayalift {

namespace {

/// Six missed heartbeats; a fifth of the run lease.
constexpr Milliseconds kLivenessTimeout{3'000};
/// A longer gap between two heartbeats of this process means that it was frozen.
constexpr Milliseconds kFreezeThreshold{2'000};
/// A node that has not reached the key-value service for this long counts as cut off from it.
constexpr Milliseconds kCutOffTimeout{2'000};
constexpr std::size_t kMaxStoppingAttempts = 64;

bool IsCutOff(StoreContact contact, Milliseconds silence) {
  return contact == StoreContact::kUnreachable && silence > kCutOffTimeout;
}

}  // namespace

Membership::Membership(const Clock& clock, NodeIdentity self, const FleetState& state,
                       StoreProgress& progress)
    : m_clock(clock),
      m_self(std::move(self)),
      m_state(state),
      m_progress(progress),
      m_table(clock, m_self.incarnation),
      m_last_beat_at(clock.Now()),
      m_resumed_at(clock.Now()) {}

std::vector<NodeId> Membership::LiveNodes(const FleetView& view) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<NodeId> in_contact;
  std::vector<NodeId> cut_off;
  for (const auto& [id, record] : view.nodes) {
    const bool is_live =
        id == m_self.id ? PhaseLocked(view) == NodePhase::kServing : IsLiveLocked(record->value);
    if (is_live) {
      (IsCutOffLocked(record->value) ? cut_off : in_contact).push_back(id);
    }
  }
  return in_contact.empty() ? cut_off : in_contact;
}

std::vector<PeerAddress> Membership::Peers() {
  const std::shared_ptr<const FleetView> view = m_state.View();
  const std::lock_guard<std::mutex> lock(m_mutex);
  DetectFreezeLocked();
  std::vector<PeerAddress> peers;
  for (const auto& [id, record] : view->nodes) {
    if (id != m_self.id) {
      m_first_seen.try_emplace(record->value.incarnation, m_clock.Now());
      peers.push_back(PeerAddress{id, record->value.peer_address});
    }
  }
  std::erase_if(m_first_seen, [&view](const auto& entry) {
    return std::none_of(view->nodes.begin(), view->nodes.end(), [&entry](const auto& node) {
      return node.second->value.incarnation == entry.first;
    });
  });
  return peers;
}

Heartbeat Membership::ComposeHeartbeat(const NodeId& to) {
  m_progress.ConfirmedAt(m_state.followed_revision());
  // The promise is given first, so that the values read below hold every change of this node.
  const HoldPromise hold =
      m_promises != nullptr && established() ? m_promises->TryGivePromise() : HoldPromise::kNone;
  const KnownChanges made = m_promises != nullptr ? m_promises->own_changes() : KnownChanges{};
  const Revision followed_revision = m_state.followed_revision();
  const std::shared_ptr<const FleetView> view = m_state.View();
  Heartbeat heartbeat;
  heartbeat.node = m_self.id;
  heartbeat.incarnation = m_self.incarnation;
  heartbeat.hold = hold;
  heartbeat.bundle = std::max(made.bundle, m_state.rolled_version());
  heartbeat.zones = std::max(made.zones, view->zones.value.epoch);
  heartbeat.seen = followed_revision;
  heartbeat.store = m_progress.contact();
  heartbeat.store_silence = m_progress.silence();
  if (heartbeat.store == StoreContact::kUnreachable && m_stopping != nullptr) {
    heartbeat.stopping = m_stopping(*view);
    if (heartbeat.stopping.size() > kMaxStoppingAttempts) {
      heartbeat.stopping.clear();
      heartbeat.stopping_coverage = ListCoverage::kTruncated;
    }
  }
  if (const std::optional<PeerState> peer = m_table.Newest(to)) {
    heartbeat.echo = peer->heartbeat.sent_at;
    heartbeat.echo_incarnation = peer->heartbeat.incarnation;
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  heartbeat.phase = PhaseLocked(*view);
  heartbeat.sent_at = m_clock.Now();
  return heartbeat;
}

void Membership::OnHeartbeat(const Heartbeat& heartbeat) {
  if (heartbeat.node != m_self.id) {
    m_table.Record(heartbeat);
  }
}

void Membership::Leave() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_leaving = true;
}

bool Membership::established() const {
  const std::shared_ptr<const FleetView> view = m_state.View();
  const std::lock_guard<std::mutex> lock(m_mutex);
  return IsKnownToAllLocked(*view);
}

std::vector<std::optional<PeerState>> Membership::RegisteredPeerStates(
    const FleetView& view) const {
  std::vector<std::optional<PeerState>> peer_states;
  for (const auto& [id, record] : view.nodes) {
    if (id != m_self.id) {
      peer_states.push_back(m_table.Find(id, record->value.incarnation));
    }
  }
  return peer_states;
}

std::vector<SilentNode> Membership::NodesSilentFor(const FleetView& view,
                                                   Milliseconds limit) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<SilentNode> silent;
  for (const auto& [id, record] : view.nodes) {
    const Milliseconds silence = SilenceLocked(record->value);
    if (id != m_self.id && silence >= limit) {
      silent.push_back(SilentNode{id, record->modified, record->value.incarnation, silence});
    }
  }
  return silent;
}

NodePhase Membership::PhaseLocked(const FleetView& view) const {
  if (m_leaving) {
    return NodePhase::kLeaving;
  }
  return IsKnownToAllLocked(view) ? NodePhase::kServing : NodePhase::kJoining;
}

std::optional<Revision> Membership::OwnRecord(const FleetView& view) const {
  const auto own = view.nodes.find(m_self.id);
  const bool registered =
      own != view.nodes.end() && own->second->value.incarnation == m_self.incarnation;
  return registered ? std::optional<Revision>(own->second->modified) : std::nullopt;
}

bool Membership::IsKnownToAllLocked(const FleetView& view) const {
  const std::optional<Revision> own = OwnRecord(view);
  if (!own) {
    return false;
  }
  const Revision registered = *own;
  if (m_established == registered) {
    return true;
  }
  for (const auto& [id, record] : view.nodes) {
    if (id == m_self.id) {
      continue;
    }
    const std::optional<PeerState> peer = m_table.Find(id, record->value.incarnation);
    // A node that registered later has read this node's record before it started serving.
    const bool knows =
        record->modified > registered || (peer && peer->heartbeat.seen >= registered);
    if (!knows) {
      return false;
    }
  }
  m_established = registered;
  return true;
}

bool Membership::IsLiveLocked(const NodeRecord& node) const {
  const Milliseconds now = m_clock.Now();
  const std::optional<PeerState> peer = m_table.Find(node.id, node.incarnation);
  if (!peer) {
    return now - m_resumed_at < kLivenessTimeout;
  }
  const Milliseconds heard_at = std::max(peer->heard_at, m_resumed_at);
  return peer->heartbeat.phase == NodePhase::kServing && now - heard_at < kLivenessTimeout;
}

bool Membership::IsCutOffLocked(const NodeRecord& node) const {
  if (node.id == m_self.id) {
    return IsCutOff(m_progress.contact(), m_progress.silence());
  }
  const std::optional<PeerState> peer = m_table.Find(node.id, node.incarnation);
  return peer && IsCutOff(peer->heartbeat.store, peer->heartbeat.store_silence);
}

Milliseconds Membership::SilenceLocked(const NodeRecord& node) const {
  const auto seen = m_first_seen.find(node.incarnation);
  if (seen == m_first_seen.end()) {
    return Milliseconds(0);
  }
  Milliseconds last = std::max(m_resumed_at, seen->second);
  if (const std::optional<PeerState> peer = m_table.Find(node.id, node.incarnation)) {
    last = std::max(last, peer->heard_at);
  }
  return m_clock.Now() - last;
}

void Membership::DetectFreezeLocked() {
  const Milliseconds now = m_clock.Now();
  if (now - m_last_beat_at > kFreezeThreshold) {
    m_resumed_at = now;
  }
  m_last_beat_at = now;
}

}  // namespace papayalift
