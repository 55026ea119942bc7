/// One connection with a peer, on the reactor of the mesh.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/clock.h"
#include "libraries/peers/http2_session.h"
#include "libraries/peers/peer_limits.h"

class ACE_Reactor;

namespace papayalift {

/// Bytes between this node and its peers since the start.
struct PeerTraffic {
  std::atomic<std::int64_t> sent{0};
  std::atomic<std::int64_t> received{0};
};

/// What a connection works with; outlives it.
struct PeerContext {
  const Clock& clock;
  ACE_Reactor& reactor;
  PeerLimits limits;
  PeerTraffic& traffic;
};

/// Keeps itself alive while the reactor knows it. Used on the reactor's thread only.
class PeerConnection {
 public:
  /// Starts to connect and returns at once.
  static absl::StatusOr<std::shared_ptr<PeerConnection>> Connect(const PeerContext& context,
                                                                 const std::string& address,
                                                                 MessageHandler handler);
  /// Takes over the descriptor of an accepted socket.
  static absl::StatusOr<std::shared_ptr<PeerConnection>> Accept(const PeerContext& context,
                                                                int descriptor,
                                                                MessageHandler handler);
  virtual ~PeerConnection() = default;

  /// Sends a message to a peer that was connected to; a failure closes the connection.
  virtual void Send(std::string message) = 0;

  /// Once an interval: closes a connection that has brought too little or too much.
  virtual void EnforceIntervalLimits() = 0;

  virtual void Close() = 0;
  virtual bool open() const = 0;
};

}  // namespace papayalift
