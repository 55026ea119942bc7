#include "libraries/peers/peer_table.h"

#include <algorithm>

namespace papayalift {

namespace {

constexpr Milliseconds kEntryLifetime{120'000};
constexpr std::size_t kMaxEntries = 256;

}  // namespace

PeerTable::PeerTable(const Clock& clock, std::string own_incarnation)
    : m_clock(clock), m_own_incarnation(std::move(own_incarnation)) {}

void PeerTable::Record(const Heartbeat& heartbeat) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  EvictExpiredLocked();
  const Key key(heartbeat.node, heartbeat.incarnation);
  const auto known = m_states.find(key);
  const bool ignored = known == m_states.end()
                           ? m_states.size() >= kMaxEntries
                           : heartbeat.sent_at <= known->second.heartbeat.sent_at;
  if (ignored) {
    return;
  }
  PeerState& state = m_states[key];
  state.heartbeat = heartbeat;
  state.heard_at = m_clock.Now();
  const bool echo_valid = heartbeat.echo_incarnation == m_own_incarnation &&
                          heartbeat.echo > Milliseconds(0) && heartbeat.echo <= state.heard_at;
  state.written_after = echo_valid ? std::optional<Milliseconds>(heartbeat.echo) : std::nullopt;
}

std::optional<PeerState> PeerTable::Find(const NodeId& node, const std::string& incarnation) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_states.find(Key(node, incarnation));
  return found == m_states.end() ? std::nullopt : std::optional<PeerState>(found->second);
}

std::optional<PeerState> PeerTable::Newest(const NodeId& node) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::optional<PeerState> newest;
  for (auto state = m_states.lower_bound(Key(node, ""));
       state != m_states.end() && state->first.first == node; ++state) {
    if (!newest || state->second.heard_at > newest->heard_at) {
      newest = state->second;
    }
  }
  return newest;
}

void PeerTable::EvictExpiredLocked() {
  const Milliseconds now = m_clock.Now();
  std::erase_if(m_states,
                [now](const auto& entry) { return now - entry.second.heard_at > kEntryLifetime; });
}

}  // namespace papayalift
