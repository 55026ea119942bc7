#include "libraries/http/body_budget.h"

#include <algorithm>

#include "libraries/http/arriving_body.h"

namespace papayalift {

namespace {

/// Bodies get this part of the memory, the connections of one address as much again.
constexpr std::size_t kShareOfMemory = 4;
/// Of four parts of the budget, large bodies may use three.
constexpr std::size_t kParts = 4;
constexpr std::size_t kLargeParts = 3;
/// After a longer gap between two checks the process stood still, and has not read what arrived.
constexpr Milliseconds kMaxCheckGap{3'000};
/// Bodies of ordinary clients have arrived by then.
constexpr Milliseconds kMinStallAge{1'000};

}  // namespace

BodyBudgetLimits BodyBudgetLimits::ForMemory(std::size_t memory_bytes) {
  BodyBudgetLimits limits;
  limits.total_bytes = memory_bytes / kShareOfMemory;
  limits.large_bytes = limits.total_bytes / kParts * kLargeParts;
  return limits;
}

unsigned int ConnectionsForMemory(std::size_t memory_bytes, std::size_t connection_bytes,
                                  unsigned int wanted) {
  const std::size_t fitting = memory_bytes / kShareOfMemory / connection_bytes;
  return static_cast<unsigned int>(std::clamp<std::size_t>(fitting, 1, wanted));
}

void BodyBudget::EndSlowBodies() {
  const Milliseconds now = m_clock.Now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  const bool was_paused = now - m_checked_at > kMaxCheckGap;
  m_checked_at = now;
  for (ArrivingBody* const body : m_bodies) {
    if (was_paused) {
      body->BeginWindow(now);
    } else if (body->IsSlow(now, m_limits)) {
      body->Close();
      ++m_stats.too_slow;
    }
  }
}

void BodyBudget::EndStalledBody(const void* server) {
  const Milliseconds now = m_clock.Now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  ArrivingBody* victim = nullptr;
  for (ArrivingBody* const body : m_bodies) {
    const bool may_close = body->m_server == server && !body->m_complete &&
                           body->m_verdict != BodyVerdict::kClose &&
                           now - body->m_began_at >= kMinStallAge;
    if (may_close && (victim == nullptr || body->CostAt(now) > victim->CostAt(now))) {
      victim = body;
    }
  }
  if (victim != nullptr) {
    victim->Close();
    ++m_stats.evicted;
  }
}

BodyBudgetStats BodyBudget::stats() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_stats;
}

bool BodyBudget::Occupy(ArrivingBody& body, std::size_t bytes) {
  while (true) {
    const std::size_t large_bytes =
        m_large_bytes - LargePart(body.m_occupied_bytes) + LargePart(bytes);
    const std::size_t held_bytes = m_stats.held_bytes - body.m_occupied_bytes + bytes;
    const bool is_large_part_full = LargePart(bytes) > 0 && large_bytes > m_limits.large_bytes;
    if (!is_large_part_full && held_bytes <= m_limits.total_bytes) {
      SetOccupied(body, bytes);
      return true;
    }
    ArrivingBody* const victim =
        FindVictim(body, bytes, is_large_part_full ? m_limits.small_body_bytes + 1 : 1);
    if (victim == &body) {
      return false;
    }
    victim->Close();
    ++m_stats.evicted;
  }
}

ArrivingBody* BodyBudget::FindVictim(ArrivingBody& asking, std::size_t bytes,
                                     std::size_t min_bytes) const {
  const Milliseconds now = m_clock.Now();
  ArrivingBody* victim = &asking;
  double highest = asking.CostAt(now, bytes);
  for (ArrivingBody* const body : m_bodies) {
    const bool may_close =
        body != &asking && !body->m_complete && body->m_occupied_bytes >= min_bytes;
    if (may_close && body->CostAt(now) > highest) {
      victim = body;
      highest = body->CostAt(now);
    }
  }
  return victim;
}

void BodyBudget::SetOccupied(ArrivingBody& body, std::size_t bytes) {
  m_large_bytes = m_large_bytes - LargePart(body.m_occupied_bytes) + LargePart(bytes);
  m_stats.held_bytes = m_stats.held_bytes - body.m_occupied_bytes + bytes;
  body.m_occupied_bytes = bytes;
}

std::size_t BodyBudget::LargePart(std::size_t bytes) const {
  return bytes > m_limits.small_body_bytes ? bytes : 0;
}

}  // namespace papayalift
