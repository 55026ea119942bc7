/// How recently the key-value service answered, and how recent this node's copy of it surely is.
#pragma once

#include <deque>
#include <mutex>
#include <optional>

#include "libraries/base/clock.h"
#include "libraries/base/units.h"
#include "libraries/peers/heartbeat.h"

namespace papayalift {

/// A read that was sent at T and answered at revision R shows that the service had not passed R
/// at T. A copy that has followed R or more therefore holds all that was committed before T.
class StoreProgress {
 public:
  explicit StoreProgress(const Clock& clock) : m_clock(clock) {}

  void RecordAnswer(Milliseconds sent_at, Revision revision);
  void RecordFailure();

  /// The latest moment before which everything committed is surely in a copy that has followed
  /// `followed`; nothing where there is none.
  std::optional<Milliseconds> ConfirmedAt(Revision followed_revision);

  /// Whether ConfirmedAt() has found a moment after `moment`.
  bool ConfirmedSince(Milliseconds moment) const;

  StoreContact contact() const;
  /// Since the last answer; since the start where there was none.
  Milliseconds silence() const;

 private:
  struct Sample {
    Milliseconds sent_at;
    Revision revision;
  };

  const Clock& m_clock;
  const Milliseconds m_started_at = m_clock.Now();
  mutable std::mutex m_mutex;
  /// Reads that the copy has not followed yet, in the order of their moments.
  std::deque<Sample> m_samples;
  std::optional<Milliseconds> m_confirmed_at;
  std::optional<Milliseconds> m_answered_at;
  StoreContact m_contact = StoreContact::kUnreachable;
};

}  // namespace papayalift
