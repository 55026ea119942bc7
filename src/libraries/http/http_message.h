/// HTTP requests and responses, independent of the HTTP libraries in use.
#pragma once

#include <functional>
#include <map>
#include <optional>
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
  /// Keyed by lower-case name; only AsyncHttpServer fills it.
  std::map<std::string, std::string> headers;
  std::string body;
  /// When the server accepted the connection that has brought the request, on its loop's clock.
  /// Only set by AsyncHttpServer.
  std::optional<Milliseconds> connection_opened_at;
};

/// Writes the next piece of a streamed body into `piece`; returns false at its end. May block.
using BodySource = std::function<bool(std::string& piece)>;

/// How much of a response is sent. Values other than kWhole let stand-ins simulate network faults.
enum class HttpDelivery {
  kWhole,
  /// The headers and half of the body are sent, then the connection closes.
  kTruncated,
  /// The connection closes before the first byte.
  kNone,
};

/// A response as a server sends it.
struct HttpResponse {
  HttpStatus status = HttpStatus::kOk;
  std::string content_type = "application/json";
  std::string body;
  /// In addition to those that the server sets by itself.
  std::map<std::string, std::string> headers;
  /// If set, the body is streamed from here and `body` is ignored.
  BodySource stream;
  HttpDelivery delivery = HttpDelivery::kWhole;
};

/// A request as a client sends it.
struct HttpCall {
  HttpMethod method = HttpMethod::kPost;
  /// "http://127.0.0.1:8080/v1/jobs"
  std::string url;
  std::string body;
  /// From the start of the call until the whole response has arrived.
  Milliseconds timeout{1'000};
  /// If set, called after the connection is established, right before the first byte is sent. The
  /// call ends as kNotSent if it returns false.
  std::function<bool()> may_send;
};

/// Result of a call, which tells whether the request may have taken effect.
enum class HttpCallResult {
  /// No byte of the request was sent, so it had no effect.
  kNotSent,
  /// Sent, but no complete response has arrived: the request may have taken effect.
  kUnclear,
  kAnswered,
};

enum class ConnectionOrigin {
  /// Opened for the call, or not opened at all.
  kNew,
  /// Kept from an earlier call.
  kKept,
};

/// Result and response of a call.
struct HttpOutcome {
  HttpCallResult result = HttpCallResult::kNotSent;
  HttpStatus status = HttpStatus::kOk;
  std::string body;
  /// Why there is no response; empty if there is one.
  std::string error;
  /// Only set by AsyncHttpClient.
  ConnectionOrigin connection = ConnectionOrigin::kNew;
  /// When the connection that the request was sent over was established; empty if none was sent.
  /// Only set by AsyncHttpClient.
  std::optional<Milliseconds> connection_opened_at;
  /// The host refused the connection: no process listens there. Only set by AsyncHttpClient.
  bool is_connection_refused = false;
};

}  // namespace papayalift
