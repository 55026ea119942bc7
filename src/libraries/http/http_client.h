/// HTTP calls through libcurl, with connections kept open between calls.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// Takes the next bytes of a streamed answer; returns false to end the stream.
using StreamSink = std::function<bool(std::string_view bytes)>;

/// Thread-safe; concurrent calls each take a connection of their own.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Waits for the answer, at most for `call.timeout`.
  HttpOutcome Send(const HttpCall& call);

  /// Sends all calls at once and waits for all answers; outcomes stand in the order of `calls`.
  std::vector<HttpOutcome> SendAll(const std::vector<HttpCall>& calls);

  /// Streams an answer into `sink` until it ends, `sink` returns false, or nothing has arrived for
  /// `idle_limit`. The sink is also called with no bytes about once a second.
  absl::Status Stream(const HttpCall& call, Milliseconds idle_timeout, const StreamSink& sink);

 private:
  class Pool;
  std::unique_ptr<Pool> m_pool;
};

}  // namespace papayalift
