/// Lets the gangs that one pass decided to start reserve one after the other. The pass decided them
/// together, so a ledger that one of them has raised voids none of the others; a ledger that
/// anybody else has raised voids all that are left.
#pragma once

#include <map>
#include <mutex>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

enum class ReservationTurn {
  /// The caller reserves now, and then calls Release() or Break().
  kAcquired,
  /// Another gang is reserving.
  kBusy,
  /// What the pass rested on has changed: wait for the next pass.
  kInvalidated,
};

class ReservationSequencer {
 public:
  /// `ledgers` of every zone, as the pass saw them: a placement anywhere may use up what a
  /// guarantee needs.
  explicit ReservationSequencer(std::map<ZoneId, Revision> ledgers)
      : m_ledgers(std::move(ledgers)) {}

  ReservationTurn TryAcquire();
  /// The revisions to compare; only for whoever has the turn.
  const std::map<ZoneId, Revision>& ledgers() const { return m_ledgers; }
  /// The ledger of `zone` was raised by the gang that had the turn.
  void Release(const ZoneId& zone, Revision revision);
  /// Nobody else reserves under this pass.
  void Invalidate();

 private:
  enum class State { kFree, kHeld, kInvalidated };

  std::mutex m_mutex;
  std::map<ZoneId, Revision> m_ledgers;
  State m_state = State::kFree;
};

}  // namespace papayalift
