/// Bounds how many starts a leader has out at a time, by how far it is behind with its own work.
#pragma once

#include <cstdint>

#include "libraries/base/units.h"
#include "libraries/planner/plan_snapshot.h"

namespace papayalift {

/// Each start costs a write, an order, reports and another write for its end. A leader that orders
/// more than it can follow hears of ends late, renews leases late and starts urgent work late. So
/// the window is halved while the leader is behind, and grows while it is not and tasks were held
/// back: by doubling up to the size with which it last fell behind, and slowly beyond, since what a
/// larger window brings shows only later.
class StartWindow {
 public:
  /// `out` is the number of starts that no answer has confirmed yet, `lateness` how far the process
  /// is behind (Timers::Lateness()).
  void Update(std::int64_t out, Milliseconds lateness, Milliseconds now);

  /// What the next planning pass may start beside those that are out.
  StartAllowance AllowanceFor(std::int64_t out) const;

  /// Takes note of how many tasks the last pass did not start for want of an allowance.
  void RecordHeldBack(std::int64_t tasks) { m_held_back = tasks; }
  bool has_held_back() const { return m_held_back > 0; }

  std::int64_t size() const { return m_size; }

 private:
  void Shrink(std::int64_t out, Milliseconds lateness, Milliseconds now);
  void Grow();
  void LogChange(const char* message, std::int64_t out, Milliseconds lateness) const;

  static constexpr std::int64_t kInitialSize = 64;
  static constexpr std::int64_t kMaxSize = 1'024;

  std::int64_t m_size = kInitialSize;
  /// Up to here the window grows by doubling.
  std::int64_t m_safe_size = kMaxSize;
  std::int64_t m_held_back = 0;
  bool m_is_behind = false;
  Milliseconds m_next_shrink_at{0};
};

}  // namespace papayalift
