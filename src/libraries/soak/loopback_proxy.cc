#include "libraries/soak/loopback_proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <deque>
#include <utility>

namespace papayalift {

namespace {

constexpr std::size_t kChunkBytes = 16UL * 1024;
/// Limit after which a slow reader blocks the writer, as a small TCP window does.
constexpr std::size_t kMaxHeldBytes = 1024UL * 1024;
constexpr int kBacklog = 256;

sockaddr_in SocketAddress(const LoopbackAddress& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

int NewSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

enum class Closing { kGracefully, kByReset };

void CloseSocket(int descriptor, Closing closing) {
  if (closing == Closing::kByReset) {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  close(descriptor);
}

/// Bytes in transit to one end.
struct Chunk {
  std::string bytes;
  Milliseconds due{0};
};

}  // namespace

/// A client's connection and the corresponding connection to the target.
class LoopbackProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(EventLoop& loop, const LinkFault& fault, int client, int server)
      : m_loop(loop), m_fault(fault), m_client{client, {}, 0}, m_server{server, {}, 0} {}

  ~Connection() { Close(Closing::kGracefully); }

  void Start() {
    for (End* const end : {&m_client, &m_server}) {
      WatchEnd(*end);
    }
  }

  bool is_closed() const { return m_client.descriptor < 0; }

  void Close(Closing closing) {
    for (End* const end : {&m_client, &m_server}) {
      if (end->descriptor >= 0) {
        m_loop.Unwatch(end->descriptor);
        CloseSocket(std::exchange(end->descriptor, -1), closing);
      }
    }
  }

  /// Sends the bytes that are due. Also called after the link's fault has changed.
  void Deliver() {
    if (!is_closed()) {
      DeliverTo(m_server);
    }
    if (!is_closed()) {
      DeliverTo(m_client);
    }
  }

 private:
  struct End {
    int descriptor = -1;
    /// Bytes waiting to be sent to this end.
    std::deque<Chunk> chunks;
    std::size_t held_bytes = 0;
    /// The other end has closed; no further bytes follow.
    bool is_last = false;
  };

  End& Other(const End& end) { return &end == &m_client ? m_server : m_client; }

  void WatchEnd(End& end) {
    const Readiness wanted{.readable = Other(end).held_bytes < kMaxHeldBytes && !Other(end).is_last,
                           .writable = !end.chunks.empty() && CanDeliver(end)};
    const absl::Status watched = m_loop.Watch(
        end.descriptor, wanted,
        [self = shared_from_this(), &end](Readiness ready) { self->OnReady(end, ready); });
    if (!watched.ok()) {
      Close(Closing::kByReset);
    }
  }

  void OnReady(End& end, Readiness ready) {
    if (ready.readable && !is_closed()) {
      ReadFrom(end);
    }
    if (ready.writable && !is_closed()) {
      DeliverTo(end);
    }
  }

  void ReadFrom(End& end) {
    End& other = Other(end);
    std::array<char, kChunkBytes> bytes{};
    const ssize_t count = read(end.descriptor, bytes.data(), bytes.size());
    if (count > 0) {
      const Milliseconds delay =
          m_fault.state == LinkState::kDelayed ? m_fault.delay : Milliseconds(0);
      other.chunks.push_back(Chunk{std::string(bytes.data(), static_cast<std::size_t>(count)),
                                   m_loop.clock().Now() + delay});
      other.held_bytes += static_cast<std::size_t>(count);
      DeliverTo(other);
      return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    // NOTE: when a sender closes, its held-back bytes are lost; deliverable bytes still arrive.
    if (count < 0 || !CanDeliver(other)) {
      Close(Closing::kByReset);
      return;
    }
    other.is_last = true;
    DeliverTo(other);
  }

  bool CanDeliver(const End& end) const {
    const bool is_to_server = &end == &m_server;
    return m_fault.state != LinkState::kSilent &&
           m_fault.state != (is_to_server ? LinkState::kHeldToServer : LinkState::kHeldToClient);
  }

  void DeliverTo(End& end) {
    while (!end.chunks.empty() && CanDeliver(end)) {
      Chunk& piece = end.chunks.front();
      const Milliseconds wait = piece.due - m_loop.clock().Now();
      if (wait > Milliseconds(0)) {
        m_loop.After(wait, [self = shared_from_this()] { self->Deliver(); });
        break;
      }
      const ssize_t count =
          send(end.descriptor, piece.bytes.data(), piece.bytes.size(), MSG_NOSIGNAL);
      if (count < 0) {
        if (errno == EAGAIN || errno == EINTR || errno == ENOTCONN) {
          break;
        }
        Close(Closing::kByReset);
        return;
      }
      end.held_bytes -= static_cast<std::size_t>(count);
      piece.bytes.erase(0, static_cast<std::size_t>(count));
      if (!piece.bytes.empty()) {
        break;
      }
      end.chunks.pop_front();
    }
    if (end.is_last && end.chunks.empty()) {
      Close(Closing::kGracefully);
      return;
    }
    WatchEnd(end);
    if (!is_closed()) {
      WatchEnd(Other(end));
    }
  }

  EventLoop& m_loop;
  const LinkFault& m_fault;
  End m_client;
  End m_server;
};

LoopbackProxy::LoopbackProxy(EventLoop& loop, int listener, LoopbackAddress target)
    : m_loop(loop), m_listener(listener), m_target(std::move(target)) {}

absl::StatusOr<std::unique_ptr<LoopbackProxy>> LoopbackProxy::Create(EventLoop& loop,
                                                                     const LoopbackAddress& listen,
                                                                     LoopbackAddress target) {
  const int listener = NewSocket();
  const sockaddr_in address = SocketAddress(listen);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(listener, kBacklog) != 0) {
    close(listener);
    return absl::UnavailableError("can't listen on " + listen.host + ":" +
                                  std::to_string(listen.port));
  }
  std::unique_ptr<LoopbackProxy> proxy(new LoopbackProxy(loop, listener, std::move(target)));
  const absl::Status watched = loop.Watch(listener, Readiness{.readable = true},
                                          [raw = proxy.get()](Readiness) { raw->Accept(); });
  if (!watched.ok()) {
    return watched;
  }
  return proxy;
}

LoopbackProxy::~LoopbackProxy() { Close(); }

void LoopbackProxy::Close() {
  if (m_listener >= 0) {
    m_loop.Unwatch(m_listener);
    close(std::exchange(m_listener, -1));
  }
  for (const std::shared_ptr<Connection>& connection : m_connections) {
    connection->Close(Closing::kGracefully);
  }
  m_connections.clear();
}

std::uint16_t LoopbackProxy::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

void LoopbackProxy::SetFault(const LinkFault& fault) {
  m_fault = fault;
  const std::list<std::shared_ptr<Connection>> connections = m_connections;
  for (const std::shared_ptr<Connection>& connection : connections) {
    connection->Deliver();
  }
  RemoveClosed();
  if (m_fault.state != LinkState::kSilent) {
    Accept();
  }
}

void LoopbackProxy::ResetAll() {
  for (const std::shared_ptr<Connection>& connection : m_connections) {
    connection->Close(Closing::kByReset);
  }
  m_connections.clear();
}

void LoopbackProxy::Accept() {
  // The kernel has already answered the client's SYN; on a silent link nothing more is sent.
  while (true) {
    const int client = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    Connect(client);
  }
}

void LoopbackProxy::Connect(int client) {
  RemoveClosed();
  const int server = NewSocket();
  const sockaddr_in address = SocketAddress(m_target);
  const int result = connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno != EINPROGRESS) {
    CloseSocket(client, Closing::kByReset);
    close(server);
    return;
  }
  m_connections.push_back(std::make_shared<Connection>(m_loop, m_fault, client, server));
  m_connections.back()->Start();
}

void LoopbackProxy::RemoveClosed() {
  m_connections.remove_if(
      [](const std::shared_ptr<Connection>& connection) { return connection->is_closed(); });
}

}  // namespace papayalift
