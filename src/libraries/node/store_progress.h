/// Tracks when the key-value service last answered, and as of when this node's copy is known to be
/// complete.
#pragma once

#include <deque>
#include <mutex>
#include <optional>

#include "libraries/base/clock.h"
#include "libraries/base/units.h"
#include "libraries/peers/heartbeat.h"

namespace papayalift {

/// A read sent at time T and answered at revision R shows that the service was at R or below at T.
/// A copy that has followed the store to R or beyond therefore holds everything committed before T.
class StoreProgress {
 public:
  explicit StoreProgress(const Clock& clock) : m_clock(clock) {}

  void RecordAnswer(Milliseconds sent_at, Revision revision);
  void RecordFailure();

  /// The latest time such that a copy at `followed_revision` holds everything committed before it;
  /// nothing where no read has confirmed the copy yet.
  std::optional<Milliseconds> ConfirmedAt(Revision followed_revision);

  /// Whether ConfirmedAt() has returned a time after `moment`.
  bool ConfirmedSince(Milliseconds moment) const;

  StoreContact contact() const;
  /// Time since the last answer; since construction where there was none.
  Milliseconds silence() const;

 private:
  struct Sample {
    Milliseconds sent_at;
    Revision revision;
  };

  const Clock& m_clock;
  const Milliseconds m_started_at = m_clock.Now();
  mutable std::mutex m_mutex;
  /// Reads whose revision the copy has not reached yet, in the order in which they were answered.
  std::deque<Sample> m_samples;
  std::optional<Milliseconds> m_confirmed_at;
  std::optional<Milliseconds> m_answered_at;
  StoreContact m_contact = StoreContact::kUnreachable;
};

}  // namespace papayalift
