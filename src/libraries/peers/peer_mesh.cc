#include "libraries/peers/peer_mesh.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <ace/Thread.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <utility>
#include <vector>

#include "libraries/base/joining_thread.h"
#include "libraries/base/try.h"
#include "libraries/peers/heartbeat_codec.h"
#include "libraries/peers/peer_connection.h"
#include "libraries/settings/ip_address.h"

namespace papayalift {

namespace {

/// Bounds the delay until the event loop notices a stop.
constexpr Milliseconds kMaxEventWait{100};
constexpr int kMicrosecondsInMillisecond = 1'000;

ACE_Time_Value TimeValueOf(Milliseconds duration) {
  ACE_Time_Value value;
  value.set(0, static_cast<suseconds_t>(duration.count() * kMicrosecondsInMillisecond));
  return value;
}

}  // namespace

class PeerMesh::EventLoop final : public ACE_Event_Handler {
 public:
  EventLoop(const Clock& clock, NodeId self, const PeerLimits& limits)
      : m_clock(clock),
        m_self(std::move(self)),
        m_limits(limits),
        m_reactor(new ACE_Dev_Poll_Reactor, /*delete_implementation=*/true),
        m_context{clock, m_reactor, limits, m_traffic} {}

  ~EventLoop() override { Stop(); }

  absl::Status Listen(const std::string& address) {
    const IpAddress own = TRY(ParseIpAddress(address));
    const ACE_INET_Addr local(own.port, own.host.c_str());
    constexpr int kReuse = 1;
    if (m_acceptor.open(local, kReuse) != 0) {
      return absl::UnavailableError(fmt::format("can't listen for peers on {}", address));
    }
    m_acceptor.enable(ACE_NONBLOCK);
    ACE_INET_Addr bound;
    m_acceptor.get_local_addr(bound);
    m_address = fmt::format("{}:{}", own.host, bound.get_port_number());
    return absl::OkStatus();
  }

  void Start(PeerHandler& handler) {
    m_handler = &handler;
    m_thread.Start([this] { Run(); });
  }

  void Stop() {
    m_stopping = true;
    m_thread.Join();
    m_acceptor.close();
  }

  void SendHeartbeatsNow() { m_send_now = true; }

  const std::string& address() const { return m_address; }
  const PeerTraffic& traffic() const { return m_traffic; }

  ACE_HANDLE get_handle() const override { return m_acceptor.get_handle(); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    ACE_SOCK_Stream socket;
    if (m_acceptor.accept(socket) != 0) {
      return 0;
    }
    if (m_accepted.size() >= m_limits.connections) {
      socket.close();
      return 0;
    }
    absl::StatusOr<std::shared_ptr<PeerConnection>> accepted = PeerConnection::Accept(
        m_context, socket.get_handle(),
        [this](const std::string& message) { return HandleHeartbeat(message); });
    if (accepted.ok()) {
      m_accepted.push_back(*std::move(accepted));
    }
    return 0;
  }

 private:
  void Run() {
    m_reactor.owner(ACE_Thread::self());
    m_reactor.register_handler(this, ACCEPT_MASK);
    Milliseconds next_heartbeat = m_clock.Now();
    while (!m_stopping) {
      if (m_send_now.exchange(false) || m_clock.Now() >= next_heartbeat) {
        next_heartbeat = m_clock.Now() + m_limits.heartbeat_interval;
        SendHeartbeats();
      }
      const Milliseconds until_heartbeat =
          std::max(next_heartbeat - m_clock.Now(), Milliseconds(0));
      ACE_Time_Value wait = TimeValueOf(std::min(kMaxEventWait, until_heartbeat));
      m_reactor.handle_events(wait);
    }
    m_reactor.remove_handler(this, ACCEPT_MASK | DONT_CALL);
    CloseAll();
  }

  void SendHeartbeats() {
    CloseExpired();
    const std::vector<PeerAddress> peers = m_handler->Peers();
    CloseUnregistered(peers);
    for (const PeerAddress& peer : peers) {
      if (m_self < peer.node) {
        SendHeartbeatTo(peer);
      }
    }
  }

  void SendHeartbeatTo(const PeerAddress& peer) {
    OutgoingConnection& outgoing = m_outgoing[peer.node];
    if (outgoing.connection == nullptr || outgoing.address != peer.address) {
      if (outgoing.connection != nullptr) {
        outgoing.connection->Close();
      }
      absl::StatusOr<std::shared_ptr<PeerConnection>> connection = PeerConnection::Connect(
          m_context, peer.address,
          [this](const std::string& message) { return HandleAnswer(message); });
      if (!connection.ok()) {
        m_outgoing.erase(peer.node);
        return;
      }
      outgoing = OutgoingConnection{peer.address, *std::move(connection)};
    }
    outgoing.connection->Send(EncodeHeartbeat(m_handler->ComposeHeartbeat(peer.node)));
  }

  absl::StatusOr<std::string> HandleHeartbeat(const std::string& message) {
    const Heartbeat heartbeat = TRY(DecodeHeartbeat(message));
    m_handler->OnHeartbeat(heartbeat);
    return EncodeHeartbeat(m_handler->ComposeHeartbeat(heartbeat.node));
  }

  absl::StatusOr<std::string> HandleAnswer(const std::string& message) {
    m_handler->OnHeartbeat(TRY(DecodeHeartbeat(message)));
    return std::string();
  }

  void CloseExpired() {
    for (const std::shared_ptr<PeerConnection>& connection : m_accepted) {
      connection->EnforceIntervalLimits();
    }
    for (const auto& [node, outgoing] : m_outgoing) {
      outgoing.connection->EnforceIntervalLimits();
    }
    std::erase_if(m_accepted, [](const std::shared_ptr<PeerConnection>& connection) {
      return !connection->open();
    });
    std::erase_if(m_outgoing, [](const auto& entry) { return !entry.second.connection->open(); });
  }

  /// Closes outgoing connections to nodes that are no longer registered.
  void CloseUnregistered(const std::vector<PeerAddress>& peers) {
    std::erase_if(m_outgoing, [&peers](const auto& entry) {
      const bool known = std::any_of(peers.begin(), peers.end(), [&entry](const PeerAddress& peer) {
        return peer.node == entry.first;
      });
      if (!known) {
        entry.second.connection->Close();
      }
      return !known;
    });
  }

  void CloseAll() {
    for (const std::shared_ptr<PeerConnection>& connection : m_accepted) {
      connection->Close();
    }
    for (const auto& [node, outgoing] : m_outgoing) {
      outgoing.connection->Close();
    }
    m_accepted.clear();
    m_outgoing.clear();
  }

  struct OutgoingConnection {
    std::string address;
    std::shared_ptr<PeerConnection> connection;
  };

  const Clock& m_clock;
  const NodeId m_self;
  const PeerLimits m_limits;
  ACE_Reactor m_reactor;
  PeerTraffic m_traffic;
  const PeerContext m_context;
  ACE_SOCK_Acceptor m_acceptor;
  std::string m_address;
  PeerHandler* m_handler = nullptr;
  std::vector<std::shared_ptr<PeerConnection>> m_accepted;
  std::map<NodeId, OutgoingConnection> m_outgoing;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_send_now{false};
  JoiningThread m_thread;
};

PeerMesh::PeerMesh(std::unique_ptr<EventLoop> loop) : m_loop(std::move(loop)) {}

PeerMesh::~PeerMesh() = default;

absl::StatusOr<std::unique_ptr<PeerMesh>> PeerMesh::Create(const Clock& clock, NodeId self,
                                                           const std::string& address,
                                                           const PeerLimits& limits) {
  std::unique_ptr<EventLoop> loop = std::make_unique<EventLoop>(clock, std::move(self), limits);
  TRY(loop->Listen(address));
  return std::unique_ptr<PeerMesh>(new PeerMesh(std::move(loop)));
}

void PeerMesh::Start(PeerHandler& handler) { m_loop->Start(handler); }

void PeerMesh::Stop() { m_loop->Stop(); }

void PeerMesh::SendHeartbeatsNow() { m_loop->SendHeartbeatsNow(); }

std::string PeerMesh::address() const { return m_loop->address(); }

std::int64_t PeerMesh::bytes_sent() const { return m_loop->traffic().sent.load(); }

std::int64_t PeerMesh::bytes_received() const { return m_loop->traffic().received.load(); }

}  // namespace papayalift
