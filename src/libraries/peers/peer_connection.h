/// A connection to a peer, served by the mesh's reactor.
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

/// Bytes exchanged with all peers since the mesh was created.
struct PeerTraffic {
  std::atomic<std::int64_t> sent{0};
  std::atomic<std::int64_t> received{0};
};

/// Shared by all connections of a mesh; must outlive them.
struct PeerContext {
  const Clock& clock;
  ACE_Reactor& reactor;
  PeerLimits limits;
  PeerTraffic& traffic;
};

/// Holds a reference to itself while registered with the reactor. For the reactor's thread only.
class PeerConnection {
 public:
  /// Starts a non-blocking connect and returns at once.
  static absl::StatusOr<std::shared_ptr<PeerConnection>> Connect(const PeerContext& context,
                                                                 const std::string& address,
                                                                 MessageHandler handler);
  /// Takes ownership of the descriptor of an accepted socket.
  static absl::StatusOr<std::shared_ptr<PeerConnection>> Accept(const PeerContext& context,
                                                                int descriptor,
                                                                MessageHandler handler);
  virtual ~PeerConnection() = default;

  /// Sends a message on an outgoing connection; closes the connection on failure.
  virtual void Send(std::string message) = 0;

  /// Called once per heartbeat interval. Closes the connection if the peer has been silent for too
  /// long or has sent too many bytes.
  virtual void EnforceIntervalLimits() = 0;

  virtual void Close() = 0;
  virtual bool open() const = 0;
};

}  // namespace papayalift
