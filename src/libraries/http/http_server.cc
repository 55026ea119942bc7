#include "libraries/http/http_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <utility>

#include "libraries/base/boot_clock.h"
#include "libraries/http/arriving_body.h"
#include "libraries/http/connection_memory.h"
#include "libraries/http/http_refusal.h"
#include "libraries/http/request_timeout_monitor.h"

namespace papayalift {

namespace {

constexpr std::size_t kThreadStackBytes = 1024UL * 1024;
constexpr std::size_t kStreamBlockBytes = 16UL * 1024;

/// State of one request until its response is sent.
struct Exchange {
  Exchange(BodyBudget& budget, const void* server, std::size_t max_body_bytes,
           MHD_Connection* connection)
      : body(budget, server, max_body_bytes, ConnectionCloser(connection)) {}

  HttpRequest request;
  ArrivingBody body;
};

struct StreamBody {
  BodySource source;
  std::string pending;
};

ssize_t ReadStream(void* context, std::uint64_t /*position*/, char* buffer, std::size_t room) {
  StreamBody& body = *static_cast<StreamBody*>(context);
  while (body.pending.empty()) {
    if (!body.source(body.pending)) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
  }
  const std::size_t count = std::min(room, body.pending.size());
  std::copy_n(body.pending.data(), count, buffer);
  body.pending.erase(0, count);
  return static_cast<ssize_t>(count);
}

/// Fails after the truncated body, so that the connection closes amid the response.
ssize_t ReadTruncatedStream(void* context, std::uint64_t position, char* buffer, std::size_t room) {
  const StreamBody& body = *static_cast<StreamBody*>(context);
  return body.pending.empty() ? MHD_CONTENT_READER_END_WITH_ERROR
                              : ReadStream(context, position, buffer, room);
}

void FreeStream(void* context) { delete static_cast<StreamBody*>(context); }

MHD_Result CollectQuery(void* context, MHD_ValueKind /*kind*/, const char* key, const char* value) {
  static_cast<HttpRequest*>(context)->query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

enum class AfterResponse { kKeepOpen, kClose };

MHD_Response* BuildResponse(HttpResponse& response, AfterResponse after) {
  MHD_Response* built = nullptr;
  if (response.stream) {
    StreamBody* body = new StreamBody{std::move(response.stream), {}};
    built = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kStreamBlockBytes, ReadStream, body,
                                              FreeStream);
  } else if (response.delivery == HttpDelivery::kTruncated) {
    StreamBody* body = new StreamBody{{}, response.body.substr(0, response.body.size() / 2)};
    built = MHD_create_response_from_callback(response.body.size(), kStreamBlockBytes,
                                              ReadTruncatedStream, body, FreeStream);
  } else {
    built = MHD_create_response_from_buffer(response.body.size(), response.body.data(),
                                            MHD_RESPMEM_MUST_COPY);
  }
  MHD_add_response_header(built, MHD_HTTP_HEADER_CONTENT_TYPE, response.content_type.c_str());
  for (const auto& [name, value] : response.headers) {
    MHD_add_response_header(built, name.c_str(), value.c_str());
  }
  if (after == AfterResponse::kClose) {
    MHD_add_response_header(built, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  return built;
}

MHD_Result Queue(MHD_Connection* connection, HttpResponse response,
                 AfterResponse after = AfterResponse::kKeepOpen) {
  if (response.delivery == HttpDelivery::kNone) {
    return MHD_NO;
  }
  MHD_Response* built = BuildResponse(response, after);
  const MHD_Result queued =
      MHD_queue_response(connection, static_cast<unsigned int>(response.status), built);
  MHD_destroy_response(built);
  return queued;
}

}  // namespace

class HttpServer::Daemon {
 public:
  Daemon(const HttpServerLimits& limits, HttpHandler handler)
      : m_limits(limits),
        m_handler(std::move(handler)),
        m_own_budget(m_clock, BodyBudgetLimits{}),
        m_budget(limits.body_budget == nullptr ? m_own_budget : *limits.body_budget),
        m_timeout_monitor(limits.request_timeout) {}

  ~Daemon() {
    if (m_daemon != nullptr) {
      CloseListener();
      MHD_stop_daemon(m_daemon);
    }
  }

  absl::Status Start(const std::string& address, std::uint16_t port) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr) != 1) {
      return absl::InvalidArgumentError(fmt::format("'{}' is not an IPv4 address", address));
    }
    constexpr unsigned int kMillisecondsPerSecond = 1'000;
    const unsigned int idle_seconds = std::max(
        1U, static_cast<unsigned int>(m_limits.idle_timeout.count()) / kMillisecondsPerSecond);
    m_daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
            MHD_USE_ITC,
        port, nullptr, nullptr, &Daemon::Handle, this, MHD_OPTION_SOCK_ADDR, &endpoint,
        MHD_OPTION_CONNECTION_LIMIT, m_limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
        idle_seconds, MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_limits.header_bytes,
        MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_NOTIFY_COMPLETED, &Daemon::OnRequestCompleted, this,
        MHD_OPTION_NOTIFY_CONNECTION, &Daemon::OnConnectionChange, this, MHD_OPTION_END);
    if (m_daemon == nullptr) {
      return absl::UnavailableError(fmt::format("can't listen on {}:{}", address, port));
    }
    BoundReceiveBuffers(m_daemon);
    m_timeout_monitor.Start([this] { EndHopelessBodies(); });
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return absl::OkStatus();
  }

  void CloseListener() {
    if (m_listening.exchange(false)) {
      const MHD_socket listener = MHD_quiesce_daemon(m_daemon);
      if (listener != MHD_INVALID_SOCKET) {
        close(listener);
      }
    }
  }

  /// Also makes room for a connection: a full daemon accepts none that could ask for it.
  void EndHopelessBodies() {
    m_budget.EndSlowBodies();
    if (IsNearLimit(m_timeout_monitor.connections(), m_limits.connections)) {
      m_budget.EndStalledBody(this);
    }
  }

  void CloseAfterResponses() { m_is_closing = true; }

  std::uint16_t port() const { return m_port; }
  int requests_in_flight() const { return m_in_flight.load(); }

 private:
  static MHD_Result Handle(void* context, MHD_Connection* connection, const char* url,
                           const char* method, const char* /*version*/, const char* upload,
                           std::size_t* upload_size, void** state) {
    return static_cast<Daemon*>(context)->OnRequest(connection, url, method, upload, upload_size,
                                                    state);
  }

  static void OnRequestCompleted(void* context, MHD_Connection* connection, void** state,
                                 MHD_RequestTerminationCode /*code*/) {
    Daemon& daemon = *static_cast<Daemon*>(context);
    daemon.m_timeout_monitor.OnResponseSent(connection);
    if (*state != nullptr) {
      delete static_cast<Exchange*>(*state);
      *state = nullptr;
      --daemon.m_in_flight;
    }
  }

  static void OnConnectionChange(void* context, MHD_Connection* connection, void** /*state*/,
                                 MHD_ConnectionNotificationCode code) {
    Daemon& daemon = *static_cast<Daemon*>(context);
    RequestTimeoutMonitor& monitor = daemon.m_timeout_monitor;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      monitor.OnConnectionClosed(connection);
      return;
    }
    monitor.OnConnectionOpened(connection, DescriptorOf(connection));
    if (IsNearLimit(monitor.connections(), daemon.m_limits.connections)) {
      daemon.m_budget.EndStalledBody(&daemon);
    }
  }

  MHD_Result OnRequest(MHD_Connection* connection, const char* url, const char* method,
                       const char* upload, std::size_t* upload_size, void** state) {
    if (*state == nullptr) {
      Exchange* const exchange = new Exchange(m_budget, this, m_limits.body_bytes, connection);
      *state = exchange;
      ++m_in_flight;
      const BodyVerdict announced = exchange->body.Announce(AnnouncedBodyBytes(connection));
      return announced == BodyVerdict::kClose ? Queue(connection, RefusalOfBody(announced))
                                              : MHD_YES;
    }
    Exchange& exchange = *static_cast<Exchange*>(*state);
    if (*upload_size > 0) {
      const BodyVerdict verdict = exchange.body.Append(std::string_view(upload, *upload_size));
      *upload_size = 0;
      return verdict == BodyVerdict::kClose ? MHD_NO : MHD_YES;
    }
    const BodyVerdict verdict = exchange.body.Complete(exchange.request.body);
    if (verdict == BodyVerdict::kClose) {
      return MHD_NO;
    }
    if (verdict != BodyVerdict::kKept) {
      return Queue(connection, RefusalOfBody(verdict));
    }
    return Answer(connection, exchange, url, method);
  }

  MHD_Result Answer(MHD_Connection* connection, Exchange& exchange, const char* url,
                    const char* method) {
    const bool is_get = std::strcmp(method, MHD_HTTP_METHOD_GET) == 0;
    const bool is_post = std::strcmp(method, MHD_HTTP_METHOD_POST) == 0;
    if (!is_get && !is_post) {
      return Queue(connection, RefusalResponse(HttpStatus::kMethodNotAllowed, "use GET or POST"));
    }
    exchange.request.method = is_get ? HttpMethod::kGet : HttpMethod::kPost;
    exchange.request.path = url;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, CollectQuery, &exchange.request);
    m_timeout_monitor.OnRequestReceived(connection);
    HttpResponse response = m_handler(exchange.request);
    return Queue(connection, std::move(response),
                 m_is_closing ? AfterResponse::kClose : AfterResponse::kKeepOpen);
  }

  const HttpServerLimits m_limits;
  const HttpHandler m_handler;
  const BootClock m_clock;
  /// In use if the limits name no budget.
  BodyBudget m_own_budget;
  BodyBudget& m_budget;
  RequestTimeoutMonitor m_timeout_monitor;
  std::atomic<bool> m_is_closing{false};
  MHD_Daemon* m_daemon = nullptr;
  std::uint16_t m_port = 0;
  std::atomic<bool> m_listening{true};
  std::atomic<int> m_in_flight{0};
};

HttpServer::HttpServer(std::unique_ptr<Daemon> daemon) : m_daemon(std::move(daemon)) {}

HttpServer::~HttpServer() = default;

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Create(const std::string& address,
                                                               std::uint16_t port,
                                                               const HttpServerLimits& limits,
                                                               HttpHandler handler) {
  std::unique_ptr<Daemon> daemon = std::make_unique<Daemon>(limits, std::move(handler));
  const absl::Status started = daemon->Start(address, port);
  if (!started.ok()) {
    return started;
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(daemon)));
}

std::uint16_t HttpServer::port() const { return m_daemon->port(); }

void HttpServer::CloseAfterResponses() { m_daemon->CloseAfterResponses(); }

void HttpServer::StopListening() { m_daemon->CloseListener(); }

int HttpServer::requests_in_flight() const { return m_daemon->requests_in_flight(); }

}  // namespace papayalift
