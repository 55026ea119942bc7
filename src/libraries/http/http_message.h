/// HTTP requests and responses as the rest of the program sees them.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "libraries/base/units.h"
#include "libraries/http/http_status.h"

namespace papayalift {

enum class HttpMethod { kGet, kPost, kDelete };

/// A request as a server receives it.
struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  /// The path without its query.
  std::string path;
  std::map<std::string, std::string> query;
  /// By name in lower case; only where the server collects them.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Writes the next piece of a streamed body into `piece`; returns false at its end. May wait.
using BodySource = std::function<bool(std::string& piece)>;

/// How much of a response leaves; all but kWhole are for stand-ins that play a broken network.
enum class HttpDelivery {
  kWhole,
  /// The head and half of the body, then the connection closes.
  kTruncated,
  /// The connection closes without a byte.
  kNone,
};

/// A response as a server sends it.
struct HttpResponse {
  HttpStatus status = HttpStatus::kOk;
  std::string content_type = "application/json";
  std::string body;
  /// Beside those that the server sets by itself.
  std::map<std::string, std::string> headers;
  /// Where set, the body is streamed from here and `body` is not used.
  BodySource stream;
  HttpDelivery delivery = HttpDelivery::kWhole;
};

/// A request as a client sends it.
struct HttpCall {
  HttpMethod method = HttpMethod::kPost;
  /// "http://127.0.0.1:8080/v1/jobs"
  std::string url;
  std::string body;
  /// From the start of the call until its whole answer has arrived.
  Milliseconds timeout{1'000};
  /// Where set, asked once the connection stands and right before the first byte is sent; a false
  /// answer ends the call as kNotSent.
  std::function<bool()> may_send;
};

/// How far a call got, which decides whether it may have had an effect.
enum class HttpCallResult {
  /// No byte of the request left: it surely had no effect.
  kNotSent,
  /// Sent, but no whole answer came: it may have had its effect.
  kUnclear,
  kAnswered,
};

/// What became of a call.
struct HttpOutcome {
  HttpCallResult result = HttpCallResult::kNotSent;
  HttpStatus status = HttpStatus::kOk;
  std::string body;
  /// Why there is no answer; empty where there is one.
  std::string error;
};

}  // namespace papayalift
