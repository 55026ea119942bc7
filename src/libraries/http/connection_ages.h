/// Remembers when the connections of a client were established.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>

#include "libraries/base/units.h"

namespace papayalift {

/// Identifies an open connection of this process.
struct ConnectionEnds {
  std::string remote_ip;
  int remote_port = 0;
  int local_port = 0;

  auto operator<=>(const ConnectionEnds&) const = default;
};

class ConnectionAges {
 public:
  /// A connection was established over the socket, which RecordClosed() gets before it is closed.
  void RecordOpened(int socket, const ConnectionEnds& ends, Milliseconds now);
  void RecordClosed(int socket);
  /// When the connection was established; nullopt if it is not known.
  std::optional<Milliseconds> OpenedAt(const ConnectionEnds& ends) const;

 private:
  std::map<ConnectionEnds, Milliseconds> m_opened_at;
  std::map<int, ConnectionEnds> m_ends_by_socket;
};

}  // namespace papayalift
