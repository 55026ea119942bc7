/// A TCP connection that a test reads and writes byte by byte.
#pragma once

#include <cstdint>
#include <string>

namespace papayalift {

class RawConnection {
 public:
  /// Connects to a port on loopback.
  explicit RawConnection(std::uint16_t port);
  /// Takes over an accepted connection.
  static RawConnection FromAccepted(int socket) { return RawConnection(socket); }
  ~RawConnection();
  RawConnection(RawConnection&& other) noexcept : m_socket(other.m_socket) { other.m_socket = -1; }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// Returns false if the peer has closed the connection.
  bool Write(const std::string& bytes) const;
  /// Reads until the peer closes the connection, or until `end_marker` has arrived.
  std::string ReadUntil(const std::string& end_marker) const;
  std::string ReadToEnd() const { return ReadUntil(""); }

 private:
  explicit RawConnection(int socket) : m_socket(socket) {}
  int m_socket;
};

/// A listening socket on loopback, whose connections the test reads and writes.
class RawListener {
 public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::uint16_t port() const { return m_port; }
  RawConnection Accept() const;

 private:
  int m_socket;
  std::uint16_t m_port = 0;
};

}  // namespace papayalift
