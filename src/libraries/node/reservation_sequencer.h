/// Makes the gangs that one pass decided to start reserve one after the other. The pass decided
/// them together, so a ledger written by one of them does not invalidate the others; a ledger
/// written by any other reservation invalidates all that are left.
#pragma once

#include <map>
#include <mutex>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

enum class ReservationTurn {
  /// The caller must reserve now and then call Release() or Invalidate().
  kAcquired,
  /// Another gang is reserving.
  kBusy,
  /// The state that the pass was based on has changed: wait for the next pass.
  kInvalidated,
};

class ReservationSequencer {
 public:
  /// `ledgers` of all zones as the pass saw them: a placement in any zone may take capacity that a
  /// guarantee needs.
  explicit ReservationSequencer(std::map<ZoneId, Revision> ledgers)
      : m_ledgers(std::move(ledgers)) {}

  ReservationTurn TryAcquire();
  /// The revisions to compare; only valid for the current holder.
  const std::map<ZoneId, Revision>& ledgers() const { return m_ledgers; }
  /// The holder has reserved, which set the ledger of `zone` to `revision`.
  void Release(const ZoneId& zone, Revision revision);
  /// Ends all further reservations of this pass.
  void Invalidate();

 private:
  enum class State { kFree, kHeld, kInvalidated };

  std::mutex m_mutex;
  std::map<ZoneId, Revision> m_ledgers;
  State m_state = State::kFree;
};

}  // namespace papayalift
