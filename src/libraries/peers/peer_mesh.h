/// Exchanges heartbeats with every peer over one persistent HTTP/2 connection per pair of nodes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/clock.h"
#include "libraries/peers/peer_handler.h"
#include "libraries/peers/peer_limits.h"

namespace papayalift {

/// In each pair, the node whose id sorts first connects; the other sends its heartbeats as answers.
class PeerMesh {
 public:
  /// Listens on `address` ("IP:port"; port 0 picks a free port). `clock` must outlive the mesh.
  static absl::StatusOr<std::unique_ptr<PeerMesh>> Create(const Clock& clock, NodeId self,
                                                          const std::string& address,
                                                          const PeerLimits& limits);
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /// Starts the event loop's thread. `handler` must outlive it.
  void Start(PeerHandler& handler);
  /// Closes all connections and joins the thread.
  void Stop();

  /// Sends the next heartbeats without waiting for the rest of the interval.
  void SendHeartbeatsNow();

  /// The "IP:port" that the mesh listens on.
  std::string address() const;

  /// HTTP/2 bytes sent to and received from peers since the mesh was created.
  std::int64_t bytes_sent() const;
  std::int64_t bytes_received() const;

 private:
  class EventLoop;
  explicit PeerMesh(std::unique_ptr<EventLoop> loop);
  std::unique_ptr<EventLoop> m_loop;
};

}  // namespace papayalift
