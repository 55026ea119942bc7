#include "leader/fake_connections.h"

namespace papayalift {

std::vector<std::shared_ptr<FakeConnection>>& FakeConnections::KeptTo(
    const MinionId& minion, std::optional<Milliseconds> listening_since) {
  std::vector<std::shared_ptr<FakeConnection>>& kept = m_connections[minion];
  if (listening_since.has_value()) {
    std::erase_if(kept, [&listening_since](const auto& connection) {
      return connection->process_started_at != *listening_since;
    });
  }
  return kept;
}

std::shared_ptr<FakeConnection> FakeConnections::TakeOpenedBy(
    const MinionId& minion, std::optional<Milliseconds> listening_since, Milliseconds opened_by) {
  for (const std::shared_ptr<FakeConnection>& connection : KeptTo(minion, listening_since)) {
    if (!connection->is_in_use && connection->opened_at <= opened_by) {
      connection->is_in_use = true;
      m_latest[minion] = *connection;
      return connection;
    }
  }
  return nullptr;
}

std::shared_ptr<FakeConnection> FakeConnections::Take(const MinionId& minion,
                                                      std::optional<Milliseconds> listening_since,
                                                      Milliseconds now) {
  std::vector<std::shared_ptr<FakeConnection>>& kept = KeptTo(minion, listening_since);
  for (const std::shared_ptr<FakeConnection>& connection : kept) {
    if (!connection->is_in_use) {
      connection->is_in_use = true;
      m_latest[minion] = *connection;
      return connection;
    }
  }
  if (!listening_since.has_value()) {
    const auto latest = m_latest.find(minion);
    return std::make_shared<FakeConnection>(
        latest == m_latest.end() ? FakeConnection{now, now, true} : latest->second);
  }
  kept.push_back(std::make_shared<FakeConnection>(FakeConnection{now, *listening_since, true}));
  m_latest[minion] = *kept.back();
  return kept.back();
}

void FakeConnections::Release(const MinionId& minion,
                              const std::shared_ptr<FakeConnection>& connection, bool is_answered) {
  connection->is_in_use = false;
  if (!is_answered) {
    std::erase(m_connections[minion], connection);
  }
}

}  // namespace papayalift
