/// What this node knows of each minion: calls outstanding, busy slots, the newest ticket.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

struct MinionTicket {
  std::string text;
  /// When the request that brought it was sent: it is at least this old.
  Milliseconds requested_at{0};
};

class MinionTable {
 public:
  void BeginCall(const MinionId& minion);
  void EndCall(const MinionId& minion);
  void RecordReport(const MinionId& minion, const MinionTicket& ticket, int busy_slots);

  /// Own calls that are on their way.
  int Outstanding(const MinionId& minion) const;
  /// Own outstanding calls plus the slots last reported busy; lower is better.
  int Load(const MinionId& minion) const;
  /// Empty where none has been heard.
  MinionTicket Ticket(const MinionId& minion) const;

 private:
  struct Entry {
    int outstanding = 0;
    int busy_slots = 0;
    MinionTicket ticket;
  };

  mutable std::mutex m_mutex;
  std::map<MinionId, Entry> m_entries;
};

}  // namespace papayalift
