/// One HTTP/2 session of whole messages, without a socket: bytes in, bytes out.
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

/// Takes a whole message and returns the answer. A client's answers are not sent anywhere.
using MessageHandler = std::function<absl::StatusOr<std::string>(const std::string& message)>;

/// Not thread-safe. After an error the connection is to be closed.
class Http2Session {
 public:
  static absl::StatusOr<std::unique_ptr<Http2Session>> Create(Http2Role role,
                                                              const PeerLimits& limits,
                                                              MessageHandler handler);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Takes what has arrived and calls the handler for each message that is whole.
  absl::Status Receive(std::string_view bytes);

  /// Client only: sends a message on a stream of its own. kResourceExhausted where too many
  /// messages wait for their answers.
  absl::Status Send(std::string message);

  /// Appends what is to be sent.
  absl::Status TakeOutput(std::string& output);

 private:
  class Engine;
  explicit Http2Session(std::unique_ptr<Engine> engine);
  std::unique_ptr<Engine> m_engine;
};

}  // namespace papayalift
