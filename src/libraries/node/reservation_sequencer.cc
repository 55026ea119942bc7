#include "libraries/node/reservation_sequencer.h"

namespace papayalift {

ReservationTurn ReservationSequencer::TryAcquire() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  switch (m_state) {
    case State::kFree:
      m_state = State::kHeld;
      return ReservationTurn::kAcquired;
    case State::kHeld:
      return ReservationTurn::kBusy;
    case State::kInvalidated:
      return ReservationTurn::kInvalidated;
  }
  return ReservationTurn::kInvalidated;
}

void ReservationSequencer::Release(const ZoneId& zone, Revision revision) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_ledgers[zone] = revision;
  m_state = State::kFree;
}

void ReservationSequencer::Invalidate() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_state = State::kInvalidated;
}

}  // namespace papayalift
