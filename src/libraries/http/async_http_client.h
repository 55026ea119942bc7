/// HTTP calls through libcurl that answer by callback, on an event loop.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/http/http_message.h"
#include "libraries/loop/event_loop.h"

namespace papayalift {

/// A call with what only asynchronous callers need.
struct AsyncHttpCall {
  HttpCall call;
  /// "Name: value"
  std::vector<std::string> headers;
  /// A kept connection that has been idle for longer is not used; 0 for a new one in any case.
  std::chrono::seconds max_connection_idle{10};
};

/// Lives on the loop's thread. A call that breaks is never sent a second time by itself.
class AsyncHttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;

  AsyncHttpClient(EventLoop& loop, int max_idle_connections);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// `callback` runs later, on the loop's thread, exactly once unless the client is destroyed.
  void Send(AsyncHttpCall call, Callback callback);

 private:
  class Engine;
  std::unique_ptr<Engine> m_engine;
};

}  // namespace papayalift
