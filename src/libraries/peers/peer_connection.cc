#include "libraries/peers/peer_connection.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <utility>

#include "libraries/base/try.h"
#include "libraries/log/log_event.h"
#include "libraries/settings/ip_address.h"

namespace papayalift {

namespace {

constexpr std::size_t kReadBytes = 16UL * 1024;

class SocketConnection final : public PeerConnection,
                               public ACE_Event_Handler,
                               public std::enable_shared_from_this<SocketConnection> {
 public:
  SocketConnection(const PeerContext& context, const ACE_SOCK_Stream& socket)
      : m_context(context), m_socket(socket), m_last_message_at(context.clock.Now()) {}

  ~SocketConnection() override { m_socket.close(); }

  absl::Status Open(Http2Role role, MessageHandler handler) {
    m_session = TRY(Http2Session::Create(
        role, m_context.limits, [this, handler = std::move(handler)](const std::string& message) {
          m_last_message_at = m_context.clock.Now();
          return handler(message);
        }));
    m_socket.enable(ACE_NONBLOCK);
    int no_delay = 1;
    m_socket.set_option(IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    const ACE_Reactor_Mask events = READ_MASK | WRITE_MASK;
    if (m_context.reactor.register_handler(m_socket.get_handle(), this, events) != 0) {
      return absl::InternalError("can't register the connection with the reactor");
    }
    m_self = shared_from_this();
    return absl::OkStatus();
  }

  void Send(std::string message) override {
    if (open()) {
      const absl::Status sent = m_session->Send(std::move(message));
      CloseOnError(sent.ok() ? Flush() : sent);
    }
  }

  void EnforceIntervalLimits() override {
    if (!open()) {
      return;
    }
    const bool silent =
        m_context.clock.Now() - m_last_message_at > m_context.limits.silence_timeout;
    const bool flooded = m_interval_bytes > m_context.limits.interval_bytes;
    m_interval_bytes = 0;
    if (silent || flooded) {
      CloseOnError(absl::UnavailableError(silent ? "no complete message within the silence timeout"
                                                 : "too many bytes received in one interval"));
    }
  }

  void Close() override {
    if (m_self != nullptr) {
      const std::shared_ptr<SocketConnection> self = std::move(m_self);
      m_self = nullptr;
      m_context.reactor.remove_handler(m_socket.get_handle(), ALL_EVENTS_MASK | DONT_CALL);
      m_socket.close();
    }
  }

  bool open() const override { return m_self != nullptr; }

  ACE_HANDLE get_handle() const override { return m_socket.get_handle(); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    const std::shared_ptr<SocketConnection> self = m_self;
    CloseOnError(ReadAll());
    return 0;
  }

  int handle_output(ACE_HANDLE /*handle*/) override {
    const std::shared_ptr<SocketConnection> self = m_self;
    m_connected = true;
    CloseOnError(Flush());
    return 0;
  }

  int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override {
    Close();
    return 0;
  }

 private:
  absl::Status ReadAll() {
    std::array<char, kReadBytes> buffer{};
    const ssize_t count = m_socket.recv(buffer.data(), buffer.size());
    if (count < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
      return absl::OkStatus();
    }
    if (count <= 0) {
      return absl::UnavailableError("the peer closed the connection");
    }
    m_context.traffic.received += count;
    m_interval_bytes += static_cast<std::size_t>(count);
    if (m_interval_bytes > m_context.limits.interval_bytes) {
      return absl::ResourceExhaustedError("too many bytes received in one interval");
    }
    TRY(m_session->Receive(std::string_view(buffer.data(), static_cast<std::size_t>(count))));
    return Flush();
  }

  /// Sends what the socket accepts and registers for write events if any output remains.
  absl::Status Flush() {
    TRY(m_session->TakeOutput(m_output));
    while (m_connected && !m_output.empty()) {
      const ssize_t count = m_socket.send(m_output.data(), m_output.size());
      if (count < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
        break;
      }
      if (count <= 0) {
        return absl::UnavailableError("can't send to the peer");
      }
      m_context.traffic.sent += count;
      m_output.erase(0, static_cast<std::size_t>(count));
    }
    SetWriteInterest(m_output.empty() ? ACE_Reactor::CLR_MASK : ACE_Reactor::ADD_MASK);
    return absl::OkStatus();
  }

  void SetWriteInterest(int operation) {
    m_context.reactor.mask_ops(m_socket.get_handle(), WRITE_MASK, operation);
  }

  void CloseOnError(const absl::Status& status) {
    if (status.ok() || !open()) {
      return;
    }
    LogEvent(LogLevel::kDebug, "peers", "closing a connection to a peer")
        .Reason(std::string(status.message()))
        .Write();
    Close();
  }

  const PeerContext& m_context;
  ACE_SOCK_Stream m_socket;
  std::unique_ptr<Http2Session> m_session;
  std::string m_output;
  bool m_connected = false;
  std::size_t m_interval_bytes = 0;
  /// Arrival time of the last complete message; at first the time of creation.
  Milliseconds m_last_message_at;
  /// Set while the connection is registered with the reactor.
  std::shared_ptr<SocketConnection> m_self;
};

absl::StatusOr<std::shared_ptr<PeerConnection>> OpenConnection(const PeerContext& context,
                                                               const ACE_SOCK_Stream& socket,
                                                               Http2Role role,
                                                               MessageHandler handler) {
  const std::shared_ptr<SocketConnection> connection =
      std::make_shared<SocketConnection>(context, socket);
  TRY(connection->Open(role, std::move(handler)));
  return std::shared_ptr<PeerConnection>(connection);
}

}  // namespace

absl::StatusOr<std::shared_ptr<PeerConnection>> PeerConnection::Connect(const PeerContext& context,
                                                                        const std::string& address,
                                                                        MessageHandler handler) {
  const IpAddress peer = TRY(ParseIpAddress(address));
  ACE_SOCK_Connector connector;
  ACE_SOCK_Stream socket;
  const ACE_INET_Addr target(peer.port, peer.host.c_str());
  const ACE_Time_Value at_once(0);
  const bool started = connector.connect(socket, target, &at_once) == 0 || errno == EWOULDBLOCK ||
                       errno == EINPROGRESS;
  if (!started) {
    return absl::UnavailableError("can't connect to the peer");
  }
  return OpenConnection(context, socket, Http2Role::kClient, std::move(handler));
}

absl::StatusOr<std::shared_ptr<PeerConnection>> PeerConnection::Accept(const PeerContext& context,
                                                                       int descriptor,
                                                                       MessageHandler handler) {
  const ACE_SOCK_Stream socket(descriptor);
  return OpenConnection(context, socket, Http2Role::kServer, std::move(handler));
}

}  // namespace papayalift
