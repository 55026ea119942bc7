#include "libraries/http/async_http_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <unordered_map>
#include <utility>

#include "libraries/http/arriving_body.h"
#include "libraries/http/connection_memory.h"
#include "libraries/http/http_refusal.h"
#include "libraries/http/request_timeout_monitor.h"

namespace papayalift {

namespace {

constexpr unsigned int kMillisecondsPerSecond = 1'000;
constexpr Milliseconds kCheckInterval{1'000};

/// State of one request until its response is sent.
struct Exchange {
  Exchange(BodyBudget& budget, const void* server, std::size_t max_body_bytes, MHD_Connection* from)
      : body(
            std::make_unique<ArrivingBody>(budget, server, max_body_bytes, ConnectionCloser(from))),
        connection(from) {}

  HttpRequest request;
  /// Null after the handler has returned.
  std::unique_ptr<ArrivingBody> body;
  bool dispatched = false;
  bool suspended = false;
  bool answered = false;
  HttpResponse response;
  MHD_Connection* const connection;
};

MHD_Result CollectQuery(void* context, MHD_ValueKind /*kind*/, const char* key, const char* value) {
  static_cast<HttpRequest*>(context)->query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result CollectHeader(void* context, MHD_ValueKind /*kind*/, const char* key,
                         const char* value) {
  std::string name(key);
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  static_cast<HttpRequest*>(context)->headers[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

struct MethodEntry {
  const char* name;
  HttpMethod method;
};
constexpr MethodEntry kMethods[] = {{MHD_HTTP_METHOD_GET, HttpMethod::kGet},
                                    {MHD_HTTP_METHOD_POST, HttpMethod::kPost},
                                    {MHD_HTTP_METHOD_DELETE, HttpMethod::kDelete}};

const MethodEntry* FindMethod(const char* method) {
  const auto* const found = std::find_if(
      std::begin(kMethods), std::end(kMethods),
      [method](const MethodEntry& entry) { return std::strcmp(entry.name, method) == 0; });
  return found == std::end(kMethods) ? nullptr : found;
}

}  // namespace

class AsyncHttpServer::Daemon {
 public:
  Daemon(EventLoop& loop, const HttpServerLimits& limits, AsyncHttpHandler handler)
      : m_loop(loop),
        m_limits(limits),
        m_handler(std::move(handler)),
        m_own_budget(loop.clock(), BodyBudgetLimits{}),
        m_budget(limits.body_budget == nullptr ? m_own_budget : *limits.body_budget),
        m_timeout_monitor(limits.request_timeout) {}

  ~Daemon() {
    if (m_daemon == nullptr) {
      return;
    }
    m_loop.Cancel(m_timer);
    m_loop.Cancel(m_check_timer);
    m_loop.Unwatch(m_descriptor);
    for (const auto& [address, exchange] : m_exchanges) {
      if (exchange->suspended) {
        MHD_resume_connection(exchange->connection);
      }
    }
    MHD_stop_daemon(m_daemon);
  }

  absl::Status Start(const std::string& address, std::uint16_t port) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr) != 1) {
      return absl::InvalidArgumentError(fmt::format("'{}' is not an IPv4 address", address));
    }
    const unsigned int idle_seconds = std::max(
        1U, static_cast<unsigned int>(m_limits.idle_timeout.count()) / kMillisecondsPerSecond);
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, nullptr, nullptr, &Daemon::Handle, this,
        MHD_OPTION_SOCK_ADDR, &endpoint, MHD_OPTION_CONNECTION_LIMIT, m_limits.connections,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        m_limits.header_bytes, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        &Daemon::OnRequestCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
        &Daemon::OnConnectionChange, this, MHD_OPTION_END);
    if (m_daemon == nullptr) {
      return absl::UnavailableError(fmt::format("can't listen on {}:{}", address, port));
    }
    BoundReceiveBuffers(m_daemon);
    CheckSlowRequests();
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    m_descriptor = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    return m_loop.Watch(m_descriptor, Readiness{.readable = true}, [this](Readiness) { Run(); });
  }

  void CloseAfterResponses() { m_is_closing = true; }
  std::uint16_t port() const { return m_port; }
  int requests_in_flight() const { return static_cast<int>(m_exchanges.size()); }
  int connections() const {
    return static_cast<int>(
        MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections);
  }

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
    if (*state == nullptr) {
      return;
    }
    const auto found = daemon.m_exchanges.find(*state);
    if (found != daemon.m_exchanges.end()) {
      // A late response to this exchange is ignored.
      found->second->answered = true;
      daemon.m_exchanges.erase(found);
    }
    *state = nullptr;
  }

  static void OnConnectionChange(void* context, MHD_Connection* connection, void** /*state*/,
                                 MHD_ConnectionNotificationCode code) {
    Daemon& daemon = *static_cast<Daemon*>(context);
    RequestTimeoutMonitor& monitor = daemon.m_timeout_monitor;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      daemon.m_opened_at.erase(connection);
      monitor.OnConnectionClosed(connection);
      daemon.ListenAgainIfFull();
      return;
    }
    daemon.m_opened_at[connection] = daemon.m_loop.clock().Now();
    monitor.OnConnectionOpened(connection, DescriptorOf(connection));
    daemon.m_is_full = daemon.m_is_full || monitor.connections() >= daemon.m_limits.connections;
    if (IsNearLimit(monitor.connections(), daemon.m_limits.connections)) {
      daemon.m_budget.EndStalledBody(&daemon);
    }
  }

  /// NOTE: a full daemon stops listening, and listens again in the run after the one that has
  /// closed a connection. If nothing else happens there is no such run, and callers wait for ever.
  void ListenAgainIfFull() {
    m_needs_rerun = m_needs_rerun || m_is_full;
    m_is_full = false;
  }

  void CheckSlowRequests() {
    m_timeout_monitor.AbortLateRequests();
    m_budget.EndSlowBodies();
    // A full daemon accepts none that could ask for room.
    if (IsNearLimit(m_timeout_monitor.connections(), m_limits.connections)) {
      m_budget.EndStalledBody(this);
    }
    m_check_timer = m_loop.After(kCheckInterval, [this] { CheckSlowRequests(); });
  }

  /// Runs the daemon until it has no work left, then schedules its next timeout.
  void Run() {
    if (m_is_running) {
      // Called by a handler that the daemon is running; the outer call runs the daemon again.
      m_needs_rerun = true;
      return;
    }
    m_is_running = true;
    do {
      m_needs_rerun = false;
      MHD_run(m_daemon);
    } while (m_needs_rerun);
    m_is_running = false;
    m_loop.Cancel(m_timer);
    m_timer = 0;
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    if (MHD_get_timeout(m_daemon, &milliseconds) == MHD_YES) {
      m_timer = m_loop.After(Milliseconds(milliseconds), [this] {
        m_timer = 0;
        Run();
      });
    }
  }

  MHD_Result OnRequest(MHD_Connection* connection, const char* url, const char* method,
                       const char* upload, std::size_t* upload_size, void** state) {
    if (*state == nullptr) {
      const std::shared_ptr<Exchange> exchange =
          std::make_shared<Exchange>(m_budget, this, m_limits.body_bytes, connection);
      m_exchanges[exchange.get()] = exchange;
      *state = exchange.get();
      const BodyVerdict announced = exchange->body->Announce(AnnouncedBodyBytes(connection));
      return announced == BodyVerdict::kClose ? Queue(connection, RefusalOfBody(announced))
                                              : MHD_YES;
    }
    Exchange& exchange = *static_cast<Exchange*>(*state);
    if (*upload_size > 0) {
      const BodyVerdict verdict = exchange.body->Append(std::string_view(upload, *upload_size));
      *upload_size = 0;
      return verdict == BodyVerdict::kClose ? MHD_NO : MHD_YES;
    }
    if (exchange.answered) {
      return Queue(connection, exchange.response);
    }
    if (exchange.dispatched) {
      // The handler has not responded yet.
      return MHD_YES;
    }
    return Dispatch(connection, exchange, url, method);
  }

  MHD_Result Dispatch(MHD_Connection* connection, Exchange& exchange, const char* url,
                      const char* method) {
    const MethodEntry* const known = FindMethod(method);
    if (known == nullptr) {
      return Queue(connection,
                   RefusalResponse(HttpStatus::kMethodNotAllowed, "use GET, POST or DELETE"));
    }
    const BodyVerdict verdict = exchange.body->Complete(exchange.request.body);
    if (verdict == BodyVerdict::kClose) {
      return MHD_NO;
    }
    if (verdict != BodyVerdict::kKept) {
      return Queue(connection, RefusalOfBody(verdict));
    }
    exchange.request.method = known->method;
    exchange.request.path = url;
    exchange.request.connection_opened_at = m_opened_at.at(connection);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, CollectQuery, &exchange.request);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, CollectHeader, &exchange.request);
    exchange.dispatched = true;
    m_timeout_monitor.OnRequestReceived(connection);
    const std::weak_ptr<Exchange> weak = m_exchanges.at(&exchange);
    m_handler(exchange.request,
              [this, weak](HttpResponse response) { Answer(weak, std::move(response)); });
    // The handler has decoded what it needs of the body.
    exchange.request.body = std::string();
    exchange.body.reset();
    if (exchange.answered) {
      return Queue(connection, exchange.response);
    }
    exchange.suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
  }

  void Answer(const std::weak_ptr<Exchange>& weak, HttpResponse response) {
    const std::shared_ptr<Exchange> exchange = weak.lock();
    if (exchange == nullptr || exchange->answered) {
      return;
    }
    exchange->answered = true;
    exchange->response = std::move(response);
    if (exchange->suspended) {
      exchange->suspended = false;
      MHD_resume_connection(exchange->connection);
      Run();
    }
  }

  MHD_Result Queue(MHD_Connection* connection, const HttpResponse& response) const {
    if (response.delivery == HttpDelivery::kNone) {
      return MHD_NO;
    }
    // NOTE: the exchange may be destroyed before the response is completely sent, so copy the body.
    MHD_Response* const built = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(built, MHD_HTTP_HEADER_CONTENT_TYPE, response.content_type.c_str());
    for (const auto& [name, value] : response.headers) {
      MHD_add_response_header(built, name.c_str(), value.c_str());
    }
    if (m_is_closing) {
      MHD_add_response_header(built, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result queued =
        MHD_queue_response(connection, static_cast<unsigned int>(response.status), built);
    MHD_destroy_response(built);
    return queued;
  }

  EventLoop& m_loop;
  const HttpServerLimits m_limits;
  const AsyncHttpHandler m_handler;
  /// In use if the limits name no budget.
  BodyBudget m_own_budget;
  BodyBudget& m_budget;
  RequestTimeoutMonitor m_timeout_monitor;
  bool m_is_closing = false;
  bool m_is_running = false;
  bool m_needs_rerun = false;
  /// There were as many connections as are allowed, and none has been closed since.
  bool m_is_full = false;
  MHD_Daemon* m_daemon = nullptr;
  std::uint16_t m_port = 0;
  int m_descriptor = -1;
  TimerId m_timer = 0;
  TimerId m_check_timer = 0;
  std::unordered_map<const void*, std::shared_ptr<Exchange>> m_exchanges;
  std::unordered_map<const MHD_Connection*, Milliseconds> m_opened_at;
};

AsyncHttpServer::AsyncHttpServer(std::unique_ptr<Daemon> daemon) : m_daemon(std::move(daemon)) {}

AsyncHttpServer::~AsyncHttpServer() = default;

absl::StatusOr<std::unique_ptr<AsyncHttpServer>> AsyncHttpServer::Create(
    EventLoop& loop, const std::string& address, std::uint16_t port, const HttpServerLimits& limits,
    AsyncHttpHandler handler) {
  std::unique_ptr<Daemon> daemon = std::make_unique<Daemon>(loop, limits, std::move(handler));
  const absl::Status started = daemon->Start(address, port);
  if (!started.ok()) {
    return started;
  }
  return std::unique_ptr<AsyncHttpServer>(new AsyncHttpServer(std::move(daemon)));
}

std::uint16_t AsyncHttpServer::port() const { return m_daemon->port(); }
void AsyncHttpServer::CloseAfterResponses() { m_daemon->CloseAfterResponses(); }
int AsyncHttpServer::requests_in_flight() const { return m_daemon->requests_in_flight(); }
int AsyncHttpServer::connections() const { return m_daemon->connections(); }

}  // namespace papayalift
