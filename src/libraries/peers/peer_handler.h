/// What the streams between peers ask of the node that they belong to.
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

/// Called on the thread of the streams; answers at once.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  /// The registered nodes besides this one.
  virtual std::vector<PeerAddress> Peers() = 0;

  /// The heartbeat that `to` gets now.
  virtual Heartbeat ComposeHeartbeat(const NodeId& to) = 0;

  virtual void OnHeartbeat(const Heartbeat& heartbeat) = 0;
};

}  // namespace papayalift
