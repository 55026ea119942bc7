#include "libraries/leader/planned_ends.h"

namespace papayalift {

namespace {

/// Longer than the time after the end of a process within which its runs are given up and judged.
constexpr Milliseconds kAnnouncementRetention{60'000};

}  // namespace

PlannedEnds::Change PlannedEnds::Observe(const MinionEntry& entry, Milliseconds now) {
  const auto found = m_announcements.find({entry.id, entry.incarnation});
  if (entry.state == MinionState::kDraining) {
    if (found != m_announcements.end()) {
      return Change::kNone;
    }
    Restore(entry.id, entry.incarnation, entry.heartbeat, now);
    return Change::kAnnounced;
  }
  if (found == m_announcements.end() || entry.heartbeat <= found->second.heartbeat) {
    return Change::kNone;
  }
  m_announcements.erase(found);
  return Change::kWithdrawn;
}

void PlannedEnds::Restore(const MinionId& minion, MinionIncarnation incarnation,
                          HeartbeatNumber heartbeat, Milliseconds now) {
  m_announcements.try_emplace({minion, incarnation}, Announcement{heartbeat, now});
}

std::optional<HeartbeatNumber> PlannedEnds::AnnouncementOf(const MinionId& minion,
                                                           MinionIncarnation incarnation) const {
  const auto found = m_announcements.find({minion, incarnation});
  return found == m_announcements.end() ? std::nullopt
                                        : std::optional<HeartbeatNumber>(found->second.heartbeat);
}

void PlannedEnds::DropOld(
    Milliseconds now, const std::function<bool(const MinionId&, MinionIncarnation)>& is_needed) {
  std::erase_if(m_announcements, [now, &is_needed](const auto& entry) {
    return now - entry.second.heard_at > kAnnouncementRetention &&
           !is_needed(entry.first.first, entry.first.second);
  });
}

}  // namespace papayalift
