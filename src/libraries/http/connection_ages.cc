#include "libraries/http/connection_ages.h"

namespace papayalift {

void ConnectionAges::RecordOpened(int socket, const ConnectionEnds& ends, Milliseconds now) {
  m_opened_at[ends] = now;
  m_ends_by_socket[socket] = ends;
}

void ConnectionAges::RecordClosed(int socket) {
  const auto found = m_ends_by_socket.find(socket);
  if (found != m_ends_by_socket.end()) {
    m_opened_at.erase(found->second);
    m_ends_by_socket.erase(found);
  }
}

std::optional<Milliseconds> ConnectionAges::OpenedAt(const ConnectionEnds& ends) const {
  const auto found = m_opened_at.find(ends);
  return found == m_opened_at.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace papayalift
