/// Blocking HTTP client on libcurl, which keeps connections open between calls.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// Receives the next bytes of a streamed response; returns false to end the stream.
using StreamSink = std::function<bool(std::string_view bytes)>;

/// Thread-safe; concurrent calls use separate connections.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Blocks until the response has arrived, at most for `call.timeout`.
  HttpOutcome Send(const HttpCall& call);

  /// Sends all calls concurrently and waits for all responses; outcomes have the order of `calls`.
  std::vector<HttpOutcome> SendAll(const std::vector<HttpCall>& calls);

  /// Streams a response into `sink` until it ends, `sink` returns false, or nothing has arrived for
  /// `idle_timeout`. Also calls `sink` without bytes about once a second.
  absl::Status Stream(const HttpCall& call, Milliseconds idle_timeout, const StreamSink& sink);

 private:
  class Pool;
  std::unique_ptr<Pool> m_pool;
};

}  // namespace papayalift
