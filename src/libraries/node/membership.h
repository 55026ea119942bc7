/// Tracks which entry nodes are live, from heartbeats and the node registry.
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

/// Identifies one process of a node.
struct NodeIdentity {
  NodeId id;
  std::string incarnation;
};

/// A registered node whose process has sent no heartbeat for some time.
struct SilentNode {
  NodeId id;
  Revision modified;
  /// Of the process that the node's record names.
  std::string incarnation;
  Milliseconds silence{0};
};

/// A node is live while the process named by its record sends heartbeats and reports that it is
/// serving. Neither the record nor a heartbeat is enough by itself, so that a process that restarts
/// at the same address counts as a new one. Thread-safe.
class Membership : public Liveness, public PeerHandler {
 public:
  /// Returns the attempts in `view` that this node is stopping or knows to be stopping.
  using StoppingAttempts = std::function<std::vector<AttemptId>(const FleetView& view)>;

  Membership(const Clock& clock, NodeIdentity self, const FleetState& state,
             StoreProgress& progress);

  /// Must be called before the threads start.
  void SetStoppingAttempts(StoppingAttempts stopping) { m_stopping = std::move(stopping); }

  std::vector<NodeId> LiveNodes(const FleetView& view) const override;

  std::vector<PeerAddress> Peers() override;
  Heartbeat ComposeHeartbeat(const NodeId& to) override;
  void OnHeartbeat(const Heartbeat& heartbeat) override;

  /// Makes heartbeats carry hold promises. Must be called before the threads start.
  void SetHoldPromises(HoldPromises& promises) { m_promises = &promises; }

  const NodeId& self() const { return m_self.id; }

  /// The revision of this process's record in `view`; nothing where it is not registered there.
  std::optional<Revision> OwnRecord(const FleetView& view) const;

  /// From now on this node reports to its peers that it is leaving, and owns no jobs.
  void Leave();

  /// Whether this node is registered and every other registered node has read its record.
  bool established() const;

  /// The state from the last heartbeat of each other registered node; nothing for a process that
  /// has sent none.
  std::vector<std::optional<PeerState>> RegisteredPeerStates(const FleetView& view) const;

  /// Registered nodes that have sent no heartbeat for at least `limit`.
  std::vector<SilentNode> NodesSilentFor(const FleetView& view, Milliseconds limit) const;

 private:
  NodePhase PhaseLocked(const FleetView& view) const;
  bool IsKnownToAllLocked(const FleetView& view) const;
  bool IsLiveLocked(const NodeRecord& node) const;
  bool IsCutOffLocked(const NodeRecord& node) const;
  Milliseconds SilenceLocked(const NodeRecord& node) const;
  /// Detects that this process was frozen; heartbeats missed meanwhile don't count as silence.
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
  /// The revision of this node's record that all other nodes have seen.
  mutable Revision m_established;
  Milliseconds m_last_beat_at;
  /// When this process started or last resumed after a freeze.
  Milliseconds m_resumed_at;
  /// When each process was first seen in a record, by incarnation.
  mutable std::map<std::string, Milliseconds> m_first_seen;
};

}  // namespace papayalift
