/// Blocking HTTP server on libmicrohttpd, with limits on all resources that clients can occupy.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/http/body_budget.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// Limits on the resources that clients can occupy.
struct HttpServerLimits {
  std::size_t body_bytes = 1024UL * 1024;
  std::size_t header_bytes = 16UL * 1024;
  unsigned int connections = 256;
  /// A connection without progress for this long is closed.
  Milliseconds idle_timeout{30'000};
  /// A request that has not completely arrived within this time is aborted, even if it makes
  /// progress.
  Milliseconds request_timeout{60'000};
  /// Bounds the memory of bodies; must outlive the server. Null: only the other limits apply.
  BodyBudget* body_budget = nullptr;
};

/// Handles one request; called on the connection's own thread and may block.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

class HttpServer {
 public:
  /// Listens on the IPv4 address `address` and on `port` (0 for any free one).
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(const std::string& address,
                                                            std::uint16_t port,
                                                            const HttpServerLimits& limits,
                                                            HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const;

  /// From now on every response closes its connection, so that clients connect to other nodes.
  void CloseAfterResponses();

  /// Stops accepting connections; open connections continue.
  void StopListening();

  /// Requests whose responses are not completely sent.
  int requests_in_flight() const;

 private:
  class Daemon;
  explicit HttpServer(std::unique_ptr<Daemon> daemon);
  std::unique_ptr<Daemon> m_daemon;
};

}  // namespace papayalift
