/// Duty: heartbeats with every peer, over one kept HTTP/2 connection for each pair of nodes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/clock.h"
#include "libraries/peers/peer_handler.h"
#include "libraries/peers/peer_limits.h"

namespace papayalift {

/// Of two nodes the one whose id sorts first connects; the other's heartbeats are its answers.
class PeerMesh {
 public:
  /// Listens on `address`, "IP:port", port 0 for any free one. `clock` outlives the mesh.
  static absl::StatusOr<std::unique_ptr<PeerMesh>> Create(const Clock& clock, NodeId self,
                                                          const std::string& address,
                                                          const PeerLimits& limits);
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /// Starts the thread. `handler` outlives it.
  void Start(PeerHandler& handler);
  /// Closes all connections and ends the thread.
  void Stop();

  /// Sends a heartbeat to every peer without waiting for the interval.
  void SendHeartbeatsNow();

  /// "IP:port" that the mesh listens on.
  std::string address() const;

  /// Bytes of HTTP/2 sent to and received from peers since the start.
  std::int64_t bytes_sent() const;
  std::int64_t bytes_received() const;

 private:
  class EventLoop;
  explicit PeerMesh(std::unique_ptr<EventLoop> loop);
  std::unique_ptr<EventLoop> m_loop;
};

}  // namespace papayalift
