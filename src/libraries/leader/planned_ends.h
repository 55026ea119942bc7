/// Which processes of minions have announced that they will end. The only place that decides
/// whether the end of a process was planned: what a process announces belongs to it, not to its
/// minion's id or address, nor to the leader that heard it.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "libraries/base/units.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

class PlannedEnds {
 public:
  /// What an entry has changed.
  enum class Change { kNone, kAnnounced, kWithdrawn };

  /// To be called with each entry of the registry, in any order. An entry of a process that was
  /// written before its announcement says nothing; one that was written after it and shows the
  /// process as ready withdraws the announcement.
  Change Observe(const MinionEntry& entry, Milliseconds now);

  /// Adds an announcement that a former leader has stored.
  void Restore(const MinionId& minion, MinionIncarnation incarnation, HeartbeatNumber heartbeat,
               Milliseconds now);

  /// The heartbeat with which the process has announced its end; nullopt if it has not.
  std::optional<HeartbeatNumber> AnnouncementOf(const MinionId& minion,
                                                MinionIncarnation incarnation) const;

  /// Whether the process has announced its end, which is then no crash.
  bool IsAnnounced(const MinionId& minion, MinionIncarnation incarnation) const {
    return AnnouncementOf(minion, incarnation).has_value();
  }

  /// Drops announcements that were heard long ago, except those that are still needed.
  void DropOld(Milliseconds now,
               const std::function<bool(const MinionId&, MinionIncarnation)>& is_needed);

  std::size_t size() const { return m_announcements.size(); }

 private:
  struct Announcement {
    HeartbeatNumber heartbeat;
    Milliseconds heard_at{0};
  };

  std::map<std::pair<MinionId, MinionIncarnation>, Announcement> m_announcements;
};

}  // namespace papayalift
