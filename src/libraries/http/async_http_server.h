/// An HTTP server on libmicrohttpd whose handlers answer later, on an event loop.
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

/// Answers one request; called at most once. Harmless after the client has gone.
using HttpResponder = std::function<void(HttpResponse)>;

/// Takes one request; must see to it that `respond` is called in the end.
using AsyncHttpHandler = std::function<void(const HttpRequest&, HttpResponder respond)>;

/// Lives on the loop's thread.
class AsyncHttpServer {
 public:
  /// Listens on `address`, an IPv4 number, and `port` (0 for any free one).
  static absl::StatusOr<std::unique_ptr<AsyncHttpServer>> Create(EventLoop& loop,
                                                                 const std::string& address,
                                                                 std::uint16_t port,
                                                                 const HttpServerLimits& limits,
                                                                 AsyncHttpHandler handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  std::uint16_t port() const;

  /// Every answer from now on closes its connection, so that clients go elsewhere.
  void CloseAfterResponses();

  /// Requests that have begun to arrive and whose answers have not been sent whole.
  int requests_in_flight() const;

  /// Open connections, idle ones included.
  int connections() const;

 private:
  class Daemon;
  explicit AsyncHttpServer(std::unique_ptr<Daemon> daemon);
  std::unique_ptr<Daemon> m_daemon;
};

}  // namespace papayalift
