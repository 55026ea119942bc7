/// Which entry nodes take part, from heartbeats and the registry.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/hold_promises.h"
#include "libraries/node/liveness.h"
#include "libraries/node/store_progress.h"
#include "libraries/peers/peer_handler.h"
#include "libraries/peers/peer_table.h"

namespace papayalift {

/// What a node is, apart from what it knows.
struct NodeIdentity {
  NodeId id;
  std::string incarnation;
};

/// A registered node whose process has been silent for long.
struct SilentNode {
  NodeId id;
  Revision modified;
  /// The record names this process.
  std::string incarnation;
  Milliseconds silence{0};
};

/// A node is live while the process that its record names is heard from and says that it serves.
/// Neither the record nor a heartbeat alone is enough, so that a process that comes back at the
/// same address is a new one. Thread-safe.
class Membership : public Liveness, public PeerHandler {
 public:
  /// Names the attempts of `view` that this node is stopping or knows to be stopping.
  using StoppingAttempts = std::function<std::vector<AttemptId>(const FleetView& view)>;

  Membership(const Clock& clock, NodeIdentity self, const FleetState& state,
             StoreProgress& progress);

  /// To be set before the threads start.
  void SetStoppingAttempts(StoppingAttempts stopping) { m_stopping = std::move(stopping); }

  std::vector<NodeId> LiveNodes(const FleetView& view) const override;

  std::vector<PeerAddress> Peers() override;
  Heartbeat Compose(const NodeId& to) override;
  void Heard(const Heartbeat& heartbeat) override;

  /// Gives hold promises with the heartbeats. To be set before the threads start.
  void SetHoldPromises(HoldPromises& promises) { m_promises = &promises; }

  const NodeId& self() const { return m_self.id; }

  /// The revision of this process's record in `view`; nothing where it is not registered there.
  std::optional<Revision> OwnRecord(const FleetView& view) const;

  /// From now on this node tells its peers that it leaves, and owns nothing.
  void Leave();

  /// Whether this node is registered and every registered node has followed the records past its
  /// registration.
  bool established() const;

  /// The last heartbeat of each registered node but this one; nothing for a process that has not
  /// been heard.
  std::vector<std::optional<PeerState>> RegisteredPeerStates(const FleetView& view) const;

  /// Registered nodes that have been silent for at least `limit`.
  std::vector<SilentNode> NodesSilentFor(const FleetView& view, Milliseconds limit) const;

 private:
  NodePhase PhaseLocked(const FleetView& view) const;
  bool IsKnownToAllLocked(const FleetView& view) const;
  bool IsLiveLocked(const NodeRecord& node) const;
  bool IsCutOffLocked(const NodeRecord& node) const;
  Milliseconds SilenceLocked(const NodeRecord& node) const;
  /// Notices that this process was frozen: what it has not heard says nothing then.
  void DetectFreezeLocked();

  const Clock& m_clock;
  const NodeIdentity m_self;
  const FleetState& m_state;
  StoreProgress& m_progress;
  PeerTable m_table;
  StoppingAttempts m_stopping;
  HoldPromises* m_promises = nullptr;
  mutable std::mutex m_mutex;
  bool m_leaving = false;
  /// The revision of this node's record that all others are known to have seen.
  mutable Revision m_established;
  Milliseconds m_last_beat_at;
  /// When this process started, or went on after it was frozen.
  Milliseconds m_resumed_at;
  /// When each process was first seen in a record.
  mutable std::map<std::string, Milliseconds> m_first_seen;
};

}  // namespace papayalift
