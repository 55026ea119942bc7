#include "libraries/http/http_client.h"

#include <curl/curl.h>

#include <chrono>
#include <mutex>
#include <utility>

namespace papayalift {

namespace {

constexpr long kConnectTimeoutMilliseconds = 1'000;
/// Well below the idle timeout of servers: a request that is sent while the server closes the kept
/// connection has an unclear outcome.
constexpr long kMaxIdleSeconds = 10;
constexpr std::size_t kMaxIdleHandles = 16;
/// A call with a longer response fails.
constexpr std::size_t kMaxResponseBytes = 64UL * 1024 * 1024;

struct CurlCleanup {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using CurlHandle = std::unique_ptr<CURL, CurlCleanup>;

struct MultiCleanup {
  void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};
using MultiHandle = std::unique_ptr<CURLM, MultiCleanup>;

struct HeaderCleanup {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderCleanup>;

std::size_t AppendResponse(char* bytes, std::size_t size, std::size_t count, void* target) {
  std::string& answer = *static_cast<std::string*>(target);
  if (answer.size() + size * count > kMaxResponseBytes) {
    return 0;
  }
  answer.append(bytes, size * count);
  return size * count;
}

struct StreamState {
  const StreamSink* sink = nullptr;
  Milliseconds idle_timeout{0};
  std::chrono::steady_clock::time_point last_bytes = std::chrono::steady_clock::now();
  bool ended_by_sink = false;
};

std::size_t FeedSink(char* bytes, std::size_t size, std::size_t count, void* target) {
  StreamState& state = *static_cast<StreamState*>(target);
  state.last_bytes = std::chrono::steady_clock::now();
  if (!(*state.sink)(std::string_view(bytes, size * count))) {
    state.ended_by_sink = true;
    return 0;
  }
  return size * count;
}

int WatchStream(void* target, curl_off_t /*down_total*/, curl_off_t /*down_now*/,
                curl_off_t /*up_total*/, curl_off_t /*up_now*/) {
  StreamState& state = *static_cast<StreamState*>(target);
  if (!(*state.sink)(std::string_view())) {
    state.ended_by_sink = true;
    return 1;
  }
  return std::chrono::steady_clock::now() - state.last_bytes > state.idle_timeout ? 1 : 0;
}

/// State of one call.
struct Transfer {
  const HttpCall* call = nullptr;
  std::string answer;
  bool sent = false;
};

// NOTE: curl resends a request by itself when a kept connection breaks before the first byte of the
// response. This callback prevents the second send, which could run non-idempotent work twice.
int BeforeSend(void* target, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
               int /*local_port*/) {
  Transfer& transfer = *static_cast<Transfer*>(target);
  if (transfer.sent) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (transfer.call->may_send && !transfer.call->may_send()) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer.sent = true;
  return CURL_PREREQFUNC_OK;
}

const curl_slist* JsonHeaders() {
  // NOTE: an empty Expect header keeps curl from waiting for "100 Continue" before a long body.
  static const HeaderList kHeaders(
      curl_slist_append(curl_slist_append(nullptr, "Content-Type: application/json"), "Expect:"));
  return kHeaders.get();
}

void PrepareHandle(CURL* handle, const HttpCall& call) {
  curl_easy_reset(handle);
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMilliseconds);
  curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  if (call.method == HttpMethod::kPost) {
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, JsonHeaders());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
  }
}

void PrepareCall(CURL* handle, const HttpCall& call, Transfer& transfer) {
  PrepareHandle(handle, call);
  transfer.call = &call;
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendResponse);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer.answer);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, BeforeSend);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
}

HttpOutcome OutcomeOf(CURL* handle, CURLcode code, Transfer& transfer) {
  HttpOutcome outcome;
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    outcome.result = HttpCallResult::kAnswered;
    outcome.status = static_cast<HttpStatus>(status);
    outcome.body = std::move(transfer.answer);
    return outcome;
  }
  outcome.error = curl_easy_strerror(code);
  outcome.result = transfer.sent ? HttpCallResult::kUnclear : HttpCallResult::kNotSent;
  return outcome;
}

void InitializeCurlOnce() {
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(kInitialized);
}

}  // namespace

/// Idle curl handles with their open connections.
class HttpClient::Pool {
 public:
  CurlHandle Take() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_idle.empty()) {
      return CurlHandle(curl_easy_init());
    }
    CurlHandle handle = std::move(m_idle.back());
    m_idle.pop_back();
    return handle;
  }

  void Return(CurlHandle handle) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_idle.size() < kMaxIdleHandles) {
      m_idle.push_back(std::move(handle));
    }
  }

  MultiHandle TakeMulti() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_idle_multi.empty()) {
      return MultiHandle(curl_multi_init());
    }
    MultiHandle handle = std::move(m_idle_multi.back());
    m_idle_multi.pop_back();
    return handle;
  }

  void ReturnMulti(MultiHandle handle) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_idle_multi.size() < kMaxIdleHandles) {
      m_idle_multi.push_back(std::move(handle));
    }
  }

 private:
  std::mutex m_mutex;
  std::vector<CurlHandle> m_idle;
  std::vector<MultiHandle> m_idle_multi;
};

HttpClient::HttpClient() : m_pool(std::make_unique<Pool>()) { InitializeCurlOnce(); }

HttpClient::~HttpClient() = default;

HttpOutcome HttpClient::Send(const HttpCall& call) {
  CurlHandle handle = m_pool->Take();
  Transfer transfer;
  PrepareCall(handle.get(), call, transfer);
  const CURLcode code = curl_easy_perform(handle.get());
  HttpOutcome outcome = OutcomeOf(handle.get(), code, transfer);
  m_pool->Return(std::move(handle));
  return outcome;
}

std::vector<HttpOutcome> HttpClient::SendAll(const std::vector<HttpCall>& calls) {
  MultiHandle multi = m_pool->TakeMulti();
  std::vector<CurlHandle> handles;
  std::vector<Transfer> transfers(calls.size());
  std::vector<HttpOutcome> outcomes(calls.size());
  for (std::size_t index = 0; index < calls.size(); ++index) {
    handles.push_back(m_pool->Take());
    PrepareCall(handles[index].get(), calls[index], transfers[index]);
    curl_easy_setopt(handles[index].get(), CURLOPT_PRIVATE, &transfers[index]);
    curl_multi_add_handle(multi.get(), handles[index].get());
  }
  int running = static_cast<int>(calls.size());
  while (running > 0) {
    curl_multi_perform(multi.get(), &running);
    constexpr int kPollMilliseconds = 100;
    if (running > 0) {
      curl_multi_poll(multi.get(), nullptr, 0, kPollMilliseconds, nullptr);
    }
  }
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi.get(), &left)) {
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    outcomes[static_cast<std::size_t>(transfer - transfers.data())] =
        OutcomeOf(message->easy_handle, message->data.result, *transfer);
  }
  for (CurlHandle& handle : handles) {
    curl_multi_remove_handle(multi.get(), handle.get());
    m_pool->Return(std::move(handle));
  }
  m_pool->ReturnMulti(std::move(multi));
  return outcomes;
}

absl::Status HttpClient::Stream(const HttpCall& call, Milliseconds idle_timeout,
                                const StreamSink& sink) {
  CurlHandle handle = m_pool->Take();
  StreamState state;
  state.sink = &sink;
  state.idle_timeout = idle_timeout;
  PrepareHandle(handle.get(), call);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, FeedSink);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &state);
  curl_easy_setopt(handle.get(), CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(handle.get(), CURLOPT_XFERINFOFUNCTION, WatchStream);
  curl_easy_setopt(handle.get(), CURLOPT_XFERINFODATA, &state);
  const CURLcode code = curl_easy_perform(handle.get());
  if (state.ended_by_sink) {
    return absl::OkStatus();
  }
  if (code != CURLE_OK) {
    return absl::UnavailableError(curl_easy_strerror(code));
  }
  return absl::UnavailableError("the stream ended");
}

}  // namespace papayalift
