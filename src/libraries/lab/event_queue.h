/// Queue of simulation events, ordered by virtual time.
#pragma once

#include <cstdint>
#include <queue>
#include <vector>

#include "libraries/base/units.h"

namespace papayalift {

enum class LabEventKind {
  kSubmit,
  kCancel,
  /// All tasks of an attempt begin to run.
  kCommit,
  /// An attempt has completed its job.
  kEnd,
  /// An attempt has ended after a stop request.
  kStopped,
  /// An attempt failed on a failing worker.
  kFail,
  kCanaryPassed,
  kZoneOut,
  kZoneBack,
  kFailingFrom,
  kFailingUntil,
  /// Triggers a scheduling pass without changing the state.
  kPass,
};

struct LabEvent {
  Milliseconds at{0};
  LabEventKind kind = LabEventKind::kPass;
  /// Index of the job, zone change or failing worker, depending on the kind.
  std::size_t subject = 0;
  /// Attempt of the job that the event belongs to; 0 if it belongs to none. Events of earlier
  /// attempts are ignored.
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

    /// Events with equal times are ordered by insertion.
    bool operator<(const Entry& other) const {
      return event.at != other.event.at ? event.at > other.event.at : sequence > other.sequence;
    }
  };

  std::priority_queue<Entry> m_entries;
  std::uint64_t m_next_sequence = 0;
};

}  // namespace papayalift
