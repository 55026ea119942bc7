/// An HTTP server on libmicrohttpd with limits on everything a client can make it hold.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// Bounds on what clients can occupy.
struct HttpServerLimits {
  std::size_t body_bytes = 1024UL * 1024;
  std::size_t header_bytes = 16UL * 1024;
  unsigned int connections = 256;
  /// A connection without progress for this long is closed.
  Milliseconds idle_timeout{30'000};
  /// A request that has not arrived whole after this is cut off, also where it makes progress.
  Milliseconds request_timeout{60'000};
};

/// Answers one request; called on the connection's own thread and may wait.
using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

class HttpServer {
 public:
  /// Listens on `address`, an IPv4 number, and `port` (0 for any free one).
  static absl::StatusOr<std::unique_ptr<HttpServer>> Create(const std::string& address,
                                                            std::uint16_t port,
                                                            const HttpServerLimits& limits,
                                                            HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t port() const;

  /// Every answer from now on closes its connection, so that clients go elsewhere.
  void CloseAfterResponses();

  /// Accepts no more connections; those open go on.
  void StopListening();

  /// Requests whose answers have not been sent whole.
  int requests_in_flight() const;

 private:
  class Daemon;
  explicit HttpServer(std::unique_ptr<Daemon> daemon);
  std::unique_ptr<Daemon> m_daemon;
};

}  // namespace papayalift
