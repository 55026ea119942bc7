#include "http/raw_connection.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace papayalift {

namespace {

/// Prevents hanging; no test depends on its value.
constexpr time_t kReceiveTimeoutSeconds = 60;
constexpr int kBacklog = 16;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(port);
  endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return endpoint;
}

}  // namespace

RawConnection::RawConnection(std::uint16_t port) : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
  const timeval limit{kReceiveTimeoutSeconds, 0};
  setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const sockaddr_in endpoint = Loopback(port);
  cr_assert_eq(connect(m_socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint), 0);
}

RawConnection::~RawConnection() {
  if (m_socket >= 0) {
    close(m_socket);
  }
}

bool RawConnection::Write(const std::string& bytes) const {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        send(m_socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

std::string RawConnection::ReadUntil(const std::string& end_marker) const {
  std::string bytes;
  char buffer[4'096];
  while (end_marker.empty() || bytes.find(end_marker) == std::string::npos) {
    const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
    if (count <= 0) {
      break;
    }
    bytes.append(buffer, static_cast<std::size_t>(count));
  }
  return bytes;
}

RawListener::RawListener() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in endpoint = Loopback(0);
  cr_assert_eq(bind(m_socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint), 0);
  cr_assert_eq(listen(m_socket, kBacklog), 0);
  socklen_t size = sizeof endpoint;
  getsockname(m_socket, reinterpret_cast<sockaddr*>(&endpoint), &size);
  m_port = ntohs(endpoint.sin_port);
}

RawListener::~RawListener() { close(m_socket); }

RawConnection RawListener::Accept() const {
  return RawConnection::FromAccepted(accept(m_socket, nullptr, nullptr));
}

}  // namespace papayalift
