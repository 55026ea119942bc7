/// Bounds the memory of request bodies, over all HTTP servers of a process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <mutex>
#include <set>

#include "libraries/base/clock.h"
#include "libraries/base/units.h"

namespace papayalift {

class ArrivingBody;

struct BodyBudgetLimits {
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max() / 2;

  /// Bytes of all bodies together.
  std::size_t total_bytes = kUnlimited;
  /// Bytes of all large bodies together; the rest is kept for small ones.
  std::size_t large_bytes = kUnlimited;
  /// A body that occupies more is large.
  std::size_t small_body_bytes = 64UL * 1024;
  /// A body that brings fewer bytes than this rate over a whole headway window is ended.
  std::size_t min_bytes_per_second = 500;
  Milliseconds headway_window{10'000};

  /// The limits for a process on a machine with `memory_bytes`: a quarter for bodies, of which a
  /// quarter is kept for small ones.
  static BodyBudgetLimits ForMemory(std::size_t memory_bytes);
};

/// Connections of `connection_bytes` each that one address may have on a machine with
/// `memory_bytes`: at most `wanted`, and no more than fit into a quarter of the memory.
unsigned int ConnectionsForMemory(std::size_t memory_bytes, std::size_t connection_bytes,
                                  unsigned int wanted);

struct BodyBudgetStats {
  std::size_t held_bytes = 0;
  /// Bodies over the size limit of their server: answered 413, or closed if more arrives than is
  /// read.
  std::int64_t too_large = 0;
  /// Bodies that had no room: answered 503, or closed if more arrives than is read.
  std::int64_t over_budget = 0;
  /// Bodies that were closed to make room for another.
  std::int64_t evicted = 0;
  /// Bodies that were closed because of their rate.
  std::int64_t too_slow = 0;
  /// Refused bodies that were closed because their client sent on.
  std::int64_t flooding = 0;

  bool operator==(const BodyBudgetStats&) const = default;
};

/// Thread-safe. Must outlive its bodies.
class BodyBudget {
 public:
  BodyBudget(const Clock& clock, const BodyBudgetLimits& limits)
      : m_clock(clock), m_limits(limits), m_checked_at(clock.Now()) {}
  BodyBudget(const BodyBudget&) = delete;
  BodyBudget& operator=(const BodyBudget&) = delete;

  /// Closes the bodies that fell short of the minimum rate. Call about once a second; after a
  /// longer pause, in which the process may not have read what arrived, all windows begin anew.
  void EndSlowBodies();

  /// Closes the body of `server` with the most bytes times age that has been arriving for a second
  /// or more, to make room for a connection.
  void EndStalledBody(const void* server);

  BodyBudgetStats stats() const;

 private:
  friend class ArrivingBody;

  /// The functions below require m_mutex to be held.
  /// Sets the memory that `body` occupies, closing other bodies if that needs room; false if `body`
  /// itself is the one that would have to go.
  bool Occupy(ArrivingBody& body, std::size_t bytes);
  /// The body with the most bytes times age of those that occupy at least `min_bytes`, counting
  /// `bytes` for `asking`.
  ArrivingBody* FindVictim(ArrivingBody& asking, std::size_t bytes, std::size_t min_bytes) const;
  void SetOccupied(ArrivingBody& body, std::size_t bytes);
  std::size_t LargePart(std::size_t bytes) const;

  const Clock& m_clock;
  const BodyBudgetLimits m_limits;
  mutable std::mutex m_mutex;
  std::set<ArrivingBody*> m_bodies;
  std::size_t m_large_bytes = 0;
  BodyBudgetStats m_stats;
  Milliseconds m_checked_at;
};

}  // namespace papayalift
