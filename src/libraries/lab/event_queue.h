/// What happens next under the virtual clock.
#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "libraries/base/units.h"

namespace papayalift {

enum class LabEventKind {
  kSubmit,
  kCancel,
  /// All tasks of an attempt begin.
  kCommit,
  /// An attempt has ended by itself.
  kEnd,
  /// An attempt has ended after a stop.
  kStopped,
  /// An attempt failed on a failing worker.
  kFail,
  kCanaryPassed,
  kZoneOut,
  kZoneBack,
  kFailingFrom,
  kFailingUntil,
  /// Nothing but the next pass.
  kPass,
};

struct LabEvent {
  Milliseconds at{0};
  LabEventKind kind = LabEventKind::kPass;
  /// Position of the job, of the zone change or of the failing worker.
  std::size_t subject = 0;
  /// Which attempt of the job; an event of an earlier attempt is void.
  int attempt = 0;
};

class EventQueue {
 public:
  void Add(const LabEvent& event) { m_entries.push(Entry{event, m_next_sequence++}); }
  bool empty() const { return m_entries.empty(); }
  Milliseconds NextTime() const { return m_entries.top().event.at; }

  LabEvent Pop() {
    const LabEvent event = m_entries.top().event;
    m_entries.pop();
    return event;
  }

 private:
  struct Entry {
    LabEvent event;
    std::uint64_t sequence;

    /// Events of one moment come in the order in which they were added.
    bool operator<(const Entry& other) const {
      return event.at != other.event.at ? event.at > other.event.at : sequence > other.sequence;
    }
  };

  std::priority_queue<Entry> m_entries;
  std::uint64_t m_next_sequence = 0;
};

}  // namespace papayalift
