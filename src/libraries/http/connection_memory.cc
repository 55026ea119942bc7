#include "libraries/http/connection_memory.h"

#include <sys/socket.h>

#include <charconv>
#include <cstring>

#include "libraries/log/log_event.h"

namespace papayalift {

namespace {

/// By default the system lets it grow to several megabytes a connection.
constexpr int kReceiveBufferBytes = 64 * 1024;

}  // namespace

int DescriptorOf(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

std::function<void()> ConnectionCloser(MHD_Connection* connection) {
  return [descriptor = DescriptorOf(connection)] { shutdown(descriptor, SHUT_RDWR); };
}

std::uint64_t AnnouncedBodyBytes(MHD_Connection* connection) {
  const char* const text =
      MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  std::uint64_t bytes = 0;
  if (text != nullptr) {
    std::from_chars(text, text + std::strlen(text), bytes);
  }
  return bytes;
}

bool IsNearLimit(std::size_t connections, unsigned int limit) {
  // The last tenth is for those that connect until a closed connection has gone.
  constexpr std::size_t kParts = 10;
  return connections * kParts > (kParts - 1) * limit;
}

void BoundReceiveBuffers(MHD_Daemon* daemon) {
  // Accepted sockets inherit it from the listening one.
  const int listener = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
  if (setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                 sizeof(kReceiveBufferBytes)) != 0) {
    LogEvent(LogLevel::kWarning, "http", "receive buffers can't be bounded").Write();
  }
}

}  // namespace papayalift
