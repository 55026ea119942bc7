/// This node's view of each minion: outstanding calls, busy slots and the latest ticket.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

struct MinionTicket {
  std::string text;
  /// Send time of the request whose answer carried the ticket; the minion issued it after that.
  Milliseconds requested_at{0};
};

class MinionTable {
 public:
  void BeginCall(const MinionId& minion);
  void EndCall(const MinionId& minion);
  void RecordReport(const MinionId& minion, const MinionTicket& ticket, int busy_slots);

  /// This node's outstanding calls.
  int Outstanding(const MinionId& minion) const;
  /// This node's outstanding calls plus the busy slots last reported; lower is better.
  int Load(const MinionId& minion) const;
  /// The latest ticket; empty if none has been received.
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
