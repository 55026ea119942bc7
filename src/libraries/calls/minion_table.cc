#include "libraries/calls/minion_table.h"

namespace papayalift {

void MinionTable::BeginCall(const MinionId& minion) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_entries[minion].outstanding;
}

void MinionTable::EndCall(const MinionId& minion) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  --m_entries[minion].outstanding;
}

void MinionTable::RecordReport(const MinionId& minion, const MinionTicket& ticket, int busy_slots) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Entry& entry = m_entries[minion];
  entry.busy_slots = busy_slots;
  if (ticket.requested_at >= entry.ticket.requested_at) {
    entry.ticket = ticket;
  }
}

int MinionTable::Outstanding(const MinionId& minion) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(minion);
  return found == m_entries.end() ? 0 : found->second.outstanding;
}

int MinionTable::Load(const MinionId& minion) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(minion);
  return found == m_entries.end() ? 0 : found->second.outstanding + found->second.busy_slots;
}

MinionTicket MinionTable::Ticket(const MinionId& minion) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_entries.find(minion);
  return found == m_entries.end() ? MinionTicket{} : found->second.ticket;
}

}  // namespace papayalift
