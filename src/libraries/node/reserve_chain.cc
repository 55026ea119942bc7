#include "libraries/node/reserve_chain.h"

namespace papayalift {

ReserveTurn ReserveChain::TakeTurn() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  switch (m_state) {
    case State::kFree:
      m_state = State::kTaken;
      return ReserveTurn::kMine;
    case State::kTaken:
      return ReserveTurn::kLater;
    case State::kBroken:
      return ReserveTurn::kNever;
  }
  return ReserveTurn::kNever;
}

void ReserveChain::PassOn(const ZoneId& zone, Revision revision) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_ledgers[zone] = revision;
  m_state = State::kFree;
}

void ReserveChain::Break() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_state = State::kBroken;
}

}  // namespace papayalift
