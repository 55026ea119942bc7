/// The newest heartbeat of each peer, and how old what it says can be.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/peers/heartbeat.h"

namespace papayalift {

struct PeerState {
  Heartbeat heartbeat;
  /// On this node's clock.
  Milliseconds heard_at{0};
  /// On this node's clock: the heartbeat was written after this moment. Nothing where the peer has
  /// not yet heard from this process.
  std::optional<Milliseconds> written_after;
};

/// Thread-safe and bounded: a process of a peer that has been silent for long is forgotten.
class PeerTable {
 public:
  PeerTable(const Clock& clock, std::string own_incarnation);

  /// Late and repeated heartbeats are passed over.
  void Record(const Heartbeat& heartbeat);

  /// What the process `incarnation` of `node` said last.
  std::optional<PeerState> Find(const NodeId& node, const std::string& incarnation) const;
  /// The newest heartbeat of any process of `node`.
  std::optional<PeerState> Newest(const NodeId& node) const;

 private:
  using Key = std::pair<NodeId, std::string>;

  void EvictExpiredLocked();

  const Clock& m_clock;
  const std::string m_own_incarnation;
  mutable std::mutex m_mutex;
  std::map<Key, PeerState> m_states;
};

}  // namespace papayalift
