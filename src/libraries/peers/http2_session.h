/// An HTTP/2 session that exchanges whole messages. Does no I/O: the caller moves the bytes.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/peers/peer_limits.h"

namespace papayalift {

enum class Http2Role { kClient, kServer };

/// Handles a complete message and returns the answer. On a client the returned text is discarded.
using MessageHandler = std::function<absl::StatusOr<std::string>(const std::string& message)>;

/// Not thread-safe. After an error the caller must close the connection.
class Http2Session {
 public:
  static absl::StatusOr<std::unique_ptr<Http2Session>> Create(Http2Role role,
                                                              const PeerLimits& limits,
                                                              MessageHandler handler);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Processes received bytes and calls the handler for each complete message.
  absl::Status Receive(std::string_view bytes);

  /// Client only: queues a message on a new stream. Returns kResourceExhausted when too many
  /// messages are unanswered.
  absl::Status Send(std::string message);

  /// Appends the pending output to `output`. Returns kResourceExhausted at the output limit.
  absl::Status TakeOutput(std::string& output);

 private:
  class Engine;
  explicit Http2Session(std::unique_ptr<Engine> engine);
  std::unique_ptr<Engine> m_engine;
};

}  // namespace papayalift
