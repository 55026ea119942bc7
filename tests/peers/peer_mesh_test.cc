#include "libraries/peers/peer_mesh.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <criterion/criterion.h>

#include <array>
#include <condition_variable>
#include <map>
#include <mutex>

#include "libraries/base/boot_clock.h"

namespace papayalift {

namespace {

/// Only keeps the test from hanging; no result depends on it.
constexpr Milliseconds kTestTimeout{60'000};

PeerLimits ShortLimits() {
  PeerLimits limits;
  limits.heartbeat_interval = Milliseconds(20);
  limits.silence_timeout = Milliseconds(300);
  return limits;
}

/// Counts the heartbeats received from each peer.
class CountingNode final : public PeerHandler {
 public:
  explicit CountingNode(const std::string& name)
      : m_name(name),
        m_mesh(*PeerMesh::Create(m_clock, NodeId(name), "127.0.0.1:0", ShortLimits())) {}
  ~CountingNode() override { m_mesh->Stop(); }

  void Start(const std::vector<PeerAddress>& peers) {
    m_peers = peers;
    m_mesh->Start(*this);
  }

  PeerAddress address() const { return PeerAddress{NodeId(m_name), m_mesh->address()}; }
  PeerMesh& mesh() { return *m_mesh; }

  std::vector<PeerAddress> Peers() override { return m_peers; }

  Heartbeat ComposeHeartbeat(const NodeId& /*to*/) override {
    Heartbeat heartbeat;
    heartbeat.node = NodeId(m_name);
    heartbeat.incarnation = "1";
    return heartbeat;
  }

  void OnHeartbeat(const Heartbeat& heartbeat) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_received[heartbeat.node];
    m_changed.notify_all();
  }

  /// Waits until `count` more heartbeats from `node` have arrived.
  bool ReceivesMore(const std::string& node, int count) {
    std::unique_lock<std::mutex> lock(m_mutex);
    const int before = m_received[NodeId(node)];
    return m_changed.wait_for(lock, kTestTimeout, [this, &node, before, count] {
      return m_received[NodeId(node)] >= before + count;
    });
  }

 private:
  BootClock m_clock;
  const std::string m_name;
  std::vector<PeerAddress> m_peers;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<NodeId, int> m_received;
  const std::unique_ptr<PeerMesh> m_mesh;
};

struct TwoNodeFixture {
  TwoNodeFixture() {
    left.Start({right.address()});
    right.Start({left.address()});
  }

  CountingNode left{"a"};
  CountingNode right{"b"};
};

/// A client that sends raw bytes to a mesh.
class RawPeer {
 public:
  explicit RawPeer(const std::string& address) {
    ACE_SOCK_Connector().connect(m_socket, ACE_INET_Addr(address.c_str()));
  }
  ~RawPeer() { m_socket.close(); }

  void Send(const std::string& bytes) { m_socket.send_n(bytes.data(), bytes.size()); }

  /// Reads until the mesh closes the connection; false on timeout.
  bool IsClosed() {
    std::array<char, 1'024> buffer{};
    const ACE_Time_Value limit(kTestTimeout.count() / 1'000);
    ssize_t count = 1;
    while (count > 0) {
      count = m_socket.recv(buffer.data(), buffer.size(), &limit);
    }
    return count == 0 || errno == ECONNRESET;
  }

 private:
  ACE_SOCK_Stream m_socket;
};

constexpr char kPreface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

}  // namespace

Test(peer_mesh, heartbeat_between_two_nodes_is_received_by_both) {
  TwoNodeFixture fixture;
  cr_assert(fixture.left.ReceivesMore("b", 3));
  cr_assert(fixture.right.ReceivesMore("a", 3));
}

Test(peer_mesh, heartbeat_after_peer_restart_at_same_address_resumes) {
  CountingNode left("a");
  PeerAddress stopped;
  {
    CountingNode right("b");
    stopped = right.address();
    left.Start({stopped});
    right.Start({left.address()});
    cr_assert(left.ReceivesMore("b", 1));
  }
  BootClock clock;
  CountingNode listener("c");
  const std::unique_ptr<PeerMesh> restarted =
      *PeerMesh::Create(clock, NodeId("b"), stopped.address, ShortLimits());
  restarted->Start(listener);
  cr_assert(left.ReceivesMore("c", 2));
  restarted->Stop();
}

Test(peer_mesh, malformed_stream_is_closed_without_effect_on_others) {
  TwoNodeFixture fixture;
  RawPeer raw(fixture.right.address().address);
  raw.Send("GET / HTTP/1.1\r\n\r\n");
  cr_assert(raw.IsClosed());
  cr_assert(fixture.right.ReceivesMore("a", 3));
}

Test(peer_mesh, half_sent_stream_is_closed_without_effect_on_others) {
  TwoNodeFixture fixture;
  RawPeer raw(fixture.right.address().address);
  raw.Send(std::string(kPreface).substr(0, 10));
  cr_assert(raw.IsClosed());
  cr_assert(fixture.right.ReceivesMore("a", 3));
}

Test(peer_mesh, silent_connection_is_closed) {
  TwoNodeFixture fixture;
  RawPeer raw(fixture.right.address().address);
  cr_assert(raw.IsClosed());
}

Test(peer_mesh, flood_of_pings_is_closed_without_effect_on_others) {
  TwoNodeFixture fixture;
  RawPeer raw(fixture.right.address().address);
  const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
  const std::string ping("\0\0\10\6\0\0\0\0\0pingpong", 17);
  std::string flood = kPreface + settings;
  while (flood.size() < 2 * ShortLimits().interval_bytes) {
    flood += ping;
  }
  raw.Send(flood);
  cr_assert(raw.IsClosed());
  cr_assert(fixture.right.ReceivesMore("a", 3));
}

Test(peer_mesh, connections_above_the_limit_are_closed_without_effect_on_others) {
  TwoNodeFixture fixture;
  cr_assert(fixture.right.ReceivesMore("a", 1));
  std::vector<std::unique_ptr<RawPeer>> connections;
  for (std::size_t count = 0; count < 2 * ShortLimits().connections; ++count) {
    connections.push_back(std::make_unique<RawPeer>(fixture.right.address().address));
  }
  cr_assert(connections.back()->IsClosed());
  cr_assert(fixture.right.ReceivesMore("a", 3));
}

}  // namespace papayalift
