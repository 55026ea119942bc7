/// Asynchronous HTTP client on libcurl, driven by an event loop.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/http/http_message.h"
#include "libraries/loop/event_loop.h"

namespace papayalift {

/// A call with the options that only the asynchronous client has.
struct AsyncHttpCall {
  HttpCall call;
  /// "Name: value"
  std::vector<std::string> headers;
  /// A kept connection that was idle for longer is not reused; 0 always opens a new connection.
  std::chrono::seconds max_connection_idle{10};
  /// If set, only a kept connection that was established by then is used; the call ends as kNotSent
  /// without one.
  std::optional<Milliseconds> connection_opened_by = std::nullopt;
};

/// Must be used on the loop's thread only. Never sends a failed call a second time by itself.
class AsyncHttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;

  /// `urgency` is that of all its connections.
  AsyncHttpClient(EventLoop& loop, int max_idle_connections, Urgency urgency = Urgency::kNormal);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// `callback` runs later on the loop's thread, exactly once unless the client is destroyed
  /// before.
  void Send(AsyncHttpCall call, Callback callback);

 private:
  class Engine;
  Engine& EngineFor(const std::string& url);

  EventLoop& m_loop;
  const int m_max_idle_connections;
  const Urgency m_urgency;
  /// NOTE: curl looks for dead idle connections once a second, and starts over after each one that
  /// it finds. With thousands of idle connections, which servers close at the same time, that takes
  /// seconds. So each server's connections belong to one of many engines; unused ones are null.
  std::vector<std::unique_ptr<Engine>> m_engines;
};

}  // namespace papayalift
