/// The latest heartbeat of each peer, with a bound on its age.
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
  /// Arrival time on this node's clock.
  Milliseconds heard_at{0};
  /// The heartbeat was written after this time on this node's clock. Empty unless the heartbeat
  /// echoes one from this process.
  std::optional<Milliseconds> written_after;
};

/// Thread-safe. Bounded: evicts processes that have been silent for long, and ignores new ones
/// while full.
class PeerTable {
 public:
  PeerTable(const Clock& clock, std::string own_incarnation);

  /// Ignores reordered and duplicate heartbeats.
  void Record(const Heartbeat& heartbeat);

  /// The latest heartbeat of the process `incarnation` of `node`.
  std::optional<PeerState> Find(const NodeId& node, const std::string& incarnation) const;
  /// The most recently received heartbeat of any process of `node`.
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
