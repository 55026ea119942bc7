#include "libraries/http/async_http_client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "libraries/base/hash.h"
#include "libraries/http/connection_ages.h"

namespace papayalift {

namespace {

constexpr Milliseconds kConnectTimeout{1'000};
/// Until what had arrived by a call's deadline has been read.
constexpr Milliseconds kUnreadCheckDelay{1};
/// The deadlines of calls are this client's own, since curl's count what lies unread as missing.
constexpr long kNoTimeoutMilliseconds = 24L * 60 * 60 * 1'000;
constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;
constexpr std::size_t kMaxIdleHandles = 16;
constexpr std::size_t kEngines = 64;
/// One server may need several connections at the same time.
constexpr int kMinIdlePerEngine = 16;
/// Small, because bodies have a few kilobytes and each handle in use allocates a buffer.
constexpr long kReceiveBufferBytes = 8L * 1024;

struct CurlCleanup {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using CurlHandle = std::unique_ptr<CURL, CurlCleanup>;

struct HeaderCleanup {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderCleanup>;

/// State of one call from its start to its callback.
struct Transfer {
  AsyncHttpCall request;
  AsyncHttpClient::Callback callback;
  CurlHandle handle;
  HeaderList headers;
  std::string answer;
  bool sent = false;
  const EventLoop& loop;
  ConnectionAges& connections;
  /// The socket that curl has opened for the call, if it has.
  std::optional<int> opened_socket = {};
  std::optional<Milliseconds> connection_opened_at = {};
  /// When curl was asked to begin the call.
  Milliseconds begun_at{0};
  Milliseconds deadline{0};
  TimerId timer = 0;
};

std::size_t AppendResponse(char* bytes, std::size_t size, std::size_t count, void* target) {
  std::string& answer = static_cast<Transfer*>(target)->answer;
  if (answer.size() + size * count > kMaxResponseBytes) {
    return 0;
  }
  answer.append(bytes, size * count);
  return size * count;
}

// NOTE: curl resends a request by itself when a kept connection breaks before the first byte of the
// response. This callback prevents the second send.
int BeforeSend(void* target, char* remote_ip, char* /*local_ip*/, int remote_port, int local_port) {
  Transfer& transfer = *static_cast<Transfer*>(target);
  if (transfer.sent || (transfer.request.call.may_send && !transfer.request.call.may_send())) {
    return CURL_PREREQFUNC_ABORT;
  }
  const ConnectionEnds ends{remote_ip, remote_port, local_port};
  if (transfer.request.connection_opened_by.has_value()) {
    const std::optional<Milliseconds> opened_at = transfer.connections.OpenedAt(ends);
    if (!opened_at.has_value() || *opened_at > *transfer.request.connection_opened_by) {
      return CURL_PREREQFUNC_ABORT;
    }
  }
  transfer.sent = true;
  if (transfer.opened_socket.has_value()) {
    transfer.connections.RecordOpened(*transfer.opened_socket, ends, transfer.loop.clock().Now());
  }
  transfer.connection_opened_at = transfer.connections.OpenedAt(ends);
  // The host has not kept this call waiting for as long as the connection lay ready and unseen.
  transfer.deadline =
      transfer.begun_at + transfer.request.call.timeout + transfer.loop.UnheardFor();
  return CURL_PREREQFUNC_OK;
}

curl_socket_t OpenSocket(void* target, curlsocktype /*purpose*/, struct curl_sockaddr* address) {
  Transfer& transfer = *static_cast<Transfer*>(target);
  if (transfer.request.connection_opened_by.has_value()) {
    return CURL_SOCKET_BAD;
  }
  const int opened = socket(address->family, address->socktype, address->protocol);
  if (opened >= 0) {
    transfer.opened_socket = opened;
  }
  return opened;
}

/// Connections outlive the calls that opened them.
int CloseSocket(void* target, curl_socket_t closed) {
  static_cast<ConnectionAges*>(target)->RecordClosed(closed);
  return close(closed);
}

HeaderList HeadersOf(const AsyncHttpCall& request) {
  // NOTE: an empty Expect header keeps curl from waiting for "100 Continue" before a long body.
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  if (request.call.method == HttpMethod::kPost) {
    list = curl_slist_append(list, "Content-Type: application/json");
  }
  for (const std::string& header : request.headers) {
    list = curl_slist_append(list, header.c_str());
  }
  return HeaderList(list);
}

void Prepare(Transfer& transfer) {
  CURL* const handle = transfer.handle.get();
  const HttpCall& call = transfer.request.call;
  curl_easy_reset(handle);
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, kNoTimeoutMilliseconds);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers.get());
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendResponse);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, BeforeSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, OpenSocket);
  curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, CloseSocket);
  curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, &transfer.connections);
  curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
  const long idle_seconds = static_cast<long>(transfer.request.max_connection_idle.count());
  if (idle_seconds == 0) {
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  } else {
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, idle_seconds);
  }
  if (call.method == HttpMethod::kPost) {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
  }
  if (call.method == HttpMethod::kDelete) {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, "DELETE");
  }
}

HttpOutcome OutcomeOf(Transfer& transfer, CURLcode code) {
  HttpOutcome outcome;
  long new_connections = 0;
  curl_easy_getinfo(transfer.handle.get(), CURLINFO_NUM_CONNECTS, &new_connections);
  outcome.connection =
      transfer.sent && new_connections == 0 ? ConnectionOrigin::kKept : ConnectionOrigin::kNew;
  outcome.connection_opened_at = transfer.connection_opened_at;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(transfer.handle.get(), CURLINFO_RESPONSE_CODE, &status);
    outcome.result = HttpCallResult::kAnswered;
    outcome.status = static_cast<HttpStatus>(status);
    outcome.body = std::move(transfer.answer);
    return outcome;
  }
  outcome.error = curl_easy_strerror(code);
  outcome.result = transfer.sent ? HttpCallResult::kUnclear : HttpCallResult::kNotSent;
  long os_error = 0;
  curl_easy_getinfo(transfer.handle.get(), CURLINFO_OS_ERRNO, &os_error);
  outcome.is_connection_refused = transfer.opened_socket.has_value() &&
                                  code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
  return outcome;
}

}  // namespace

class AsyncHttpClient::Engine {
 public:
  Engine(EventLoop& loop, int max_idle_connections, Urgency urgency)
      : m_loop(loop), m_urgency(urgency) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Engine::OnSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Engine::OnTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(max_idle_connections));
  }

  ~Engine() {
    m_is_closing = true;
    m_loop.Cancel(m_timer);
    for (Transfer* const transfer : m_running) {
      m_loop.Cancel(transfer->timer);
      curl_multi_remove_handle(m_multi, transfer->handle.get());
      delete transfer;
    }
    curl_multi_cleanup(m_multi);
  }

  void Send(AsyncHttpCall call, Callback callback) {
    Transfer* const transfer = new Transfer{std::move(call), std::move(callback), TakeHandle(),
                                            HeaderList(),    std::string(),       false,
                                            m_loop,          m_connections};
    transfer->headers = HeadersOf(transfer->request);
    Prepare(*transfer);
    m_running.insert(transfer);
    m_added.push_back(transfer);
    curl_multi_add_handle(m_multi, transfer->handle.get());
  }

 private:
  static int OnSocket(CURL* /*handle*/, curl_socket_t socket, int what, void* context,
                      void* /*socket_context*/) {
    Engine& engine = *static_cast<Engine*>(context);
    if (engine.m_is_closing) {
      return 0;
    }
    if (what == CURL_POLL_REMOVE) {
      engine.m_loop.Unwatch(socket);
      return 0;
    }
    const Readiness wanted{.readable = (what & CURL_POLL_IN) != 0,
                           .writable = (what & CURL_POLL_OUT) != 0};
    const absl::Status watched = engine.m_loop.Watch(
        socket, wanted, [&engine, socket](Readiness ready) { engine.OnReady(socket, ready); },
        engine.m_urgency);
    return watched.ok() ? 0 : -1;
  }

  static int OnTimer(CURLM* /*multi*/, long milliseconds, void* context) {
    Engine& engine = *static_cast<Engine*>(context);
    if (engine.m_is_closing) {
      return 0;
    }
    engine.m_loop.Cancel(engine.m_timer);
    engine.m_timer = 0;
    if (milliseconds >= 0) {
      engine.StartTimer(Milliseconds(milliseconds));
    }
    return 0;
  }

  /// curl starts calls by a timer too, so the timers of urgent calls must be urgent.
  void StartTimer(Milliseconds delay) {
    std::function<void()> callback = [this] {
      m_timer = 0;
      PerformSocketAction(CURL_SOCKET_TIMEOUT, 0);
    };
    m_timer = m_urgency == Urgency::kUrgent ? m_loop.AfterUrgently(delay, std::move(callback))
                                            : m_loop.After(delay, std::move(callback));
  }

  void OnReady(int socket, Readiness ready) {
    PerformSocketAction(
        socket, (ready.readable ? CURL_CSELECT_IN : 0) | (ready.writable ? CURL_CSELECT_OUT : 0));
  }

  void PerformSocketAction(curl_socket_t socket, int mask) {
    BeginAdded();
    int running = 0;
    curl_multi_socket_action(m_multi, socket, mask, &running);
    FinishCompletedTransfers();
  }

  /// curl begins added calls with its next action, which may be late: their time counts from now.
  void BeginAdded() {
    const Milliseconds now = m_loop.clock().Now();
    for (Transfer* const transfer : std::exchange(m_added, {})) {
      const Milliseconds timeout = transfer->request.call.timeout;
      transfer->begun_at = now;
      transfer->deadline = now + std::min(kConnectTimeout, timeout);
      ScheduleDeadline(transfer, transfer->deadline - now);
    }
  }

  void ScheduleDeadline(Transfer* transfer, Milliseconds delay) {
    std::function<void()> callback = [this, transfer] { CheckDeadline(transfer); };
    transfer->timer = m_urgency == Urgency::kUrgent
                          ? m_loop.AfterUrgently(delay, std::move(callback))
                          : m_loop.After(delay, std::move(callback));
  }

  /// An answer is missing only if all that had arrived by the deadline has been read.
  void CheckDeadline(Transfer* transfer) {
    transfer->timer = 0;
    const Milliseconds left = transfer->deadline - m_loop.clock().Now();
    if (left.count() > 0) {
      ScheduleDeadline(transfer, left);
    } else if (m_loop.HeardUntil(m_urgency) < transfer->deadline) {
      ScheduleDeadline(transfer, kUnreadCheckDelay);
    } else {
      Finish(transfer, CURLE_OPERATION_TIMEDOUT);
    }
  }

  void FinishCompletedTransfers() {
    int left = 0;
    std::vector<std::pair<Transfer*, CURLcode>> finished;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      finished.emplace_back(transfer, message->data.result);
    }
    for (const auto& [transfer, code] : finished) {
      Finish(transfer, code);
    }
  }

  void Finish(Transfer* transfer, CURLcode code) {
    const std::unique_ptr<Transfer> owned(transfer);
    HttpOutcome outcome = OutcomeOf(*owned, code);
    m_loop.Cancel(owned->timer);
    curl_multi_remove_handle(m_multi, owned->handle.get());
    m_running.erase(transfer);
    if (m_idle.size() < kMaxIdleHandles) {
      m_idle.push_back(std::move(owned->handle));
    }
    owned->callback(std::move(outcome));
  }

  CurlHandle TakeHandle() {
    if (m_idle.empty()) {
      return CurlHandle(curl_easy_init());
    }
    CurlHandle handle = std::move(m_idle.back());
    m_idle.pop_back();
    return handle;
  }

  EventLoop& m_loop;
  const Urgency m_urgency;
  /// NOTE: declared before the handles, whose last sockets curl closes with them.
  ConnectionAges m_connections;
  CURLM* m_multi = nullptr;
  TimerId m_timer = 0;
  bool m_is_closing = false;
  std::unordered_set<Transfer*> m_running;
  /// Those of them that curl has not begun yet.
  std::vector<Transfer*> m_added;
  std::vector<CurlHandle> m_idle;
};

AsyncHttpClient::AsyncHttpClient(EventLoop& loop, int max_idle_connections, Urgency urgency)
    : m_loop(loop),
      m_max_idle_connections(max_idle_connections),
      m_urgency(urgency),
      m_engines(kEngines) {}

AsyncHttpClient::~AsyncHttpClient() = default;

AsyncHttpClient::Engine& AsyncHttpClient::EngineFor(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  const std::size_t path = url.find('/', std::min(kScheme.size(), url.size()));
  std::unique_ptr<Engine>& engine = m_engines[Hash64(url.substr(0, path)) % kEngines];
  if (engine == nullptr) {
    const int max_idle = std::max(1, m_max_idle_connections / static_cast<int>(kEngines));
    engine = std::make_unique<Engine>(m_loop, std::max(max_idle, kMinIdlePerEngine), m_urgency);
  }
  return *engine;
}

void AsyncHttpClient::Send(AsyncHttpCall call, Callback callback) {
  Engine& engine = EngineFor(call.call.url);
  engine.Send(std::move(call), std::move(callback));
}

}  // namespace papayalift
