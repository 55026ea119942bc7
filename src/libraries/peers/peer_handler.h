/// Callbacks from the peer mesh to its node.
#pragma once

#include <string>
#include <vector>

#include "libraries/peers/heartbeat.h"

namespace papayalift {

struct PeerAddress {
  NodeId node;
  /// "IP:port" where the peer listens.
  std::string address;
};

/// Called on the mesh's thread; implementations must not block.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  /// The registered nodes other than this one.
  virtual std::vector<PeerAddress> Peers() = 0;

  /// Returns the heartbeat to send to `to` now.
  virtual Heartbeat ComposeHeartbeat(const NodeId& to) = 0;

  virtual void OnHeartbeat(const Heartbeat& heartbeat) = 0;
};

}  // namespace papayalift
