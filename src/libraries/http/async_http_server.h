/// Asynchronous HTTP server on libmicrohttpd, driven by an event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/http/http_message.h"
#include "libraries/http/http_server.h"
#include "libraries/loop/event_loop.h"

namespace papayalift {

/// Sends the response of one request. Has no effect after the first call, or after the client has
/// disconnected.
using HttpResponder = std::function<void(HttpResponse)>;

/// Handles one request; must ensure that `respond` is eventually called. The request is valid only
/// during the call.
using AsyncHttpHandler = std::function<void(const HttpRequest&, HttpResponder respond)>;

/// Must be used on the loop's thread only.
class AsyncHttpServer {
 public:
  /// Listens on the IPv4 address `address` and on `port` (0 for any free one).
  static absl::StatusOr<std::unique_ptr<AsyncHttpServer>> Create(EventLoop& loop,
                                                                 const std::string& address,
                                                                 std::uint16_t port,
                                                                 const HttpServerLimits& limits,
                                                                 AsyncHttpHandler handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  std::uint16_t port() const;

  /// From now on every response closes its connection, so that clients connect to other nodes.
  void CloseAfterResponses();

  /// Requests that have begun to arrive and whose responses are not completely sent.
  int requests_in_flight() const;

  /// Open connections, idle ones included.
  int connections() const;

 private:
  class Daemon;
  explicit AsyncHttpServer(std::unique_ptr<Daemon> daemon);
  std::unique_ptr<Daemon> m_daemon;
};

}  // namespace papayalift
