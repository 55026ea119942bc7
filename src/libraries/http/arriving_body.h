/// The body of one request, from its first byte until the request is answered.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "libraries/http/body_budget.h"
#include "libraries/http/page_buffer.h"

namespace papayalift {

enum class BodyVerdict {
  /// All bytes so far are kept.
  kKept,
  /// Over the size limit. Nothing is kept; the request must be refused when its body ends.
  kTooLarge,
  /// No room in the budget. As above.
  kOverBudget,
  /// The connection must be closed.
  kClose,
};

/// Thread-safe with respect to its budget, which may close it at any time until it is complete.
class ArrivingBody {
 public:
  /// `close` ends the connection from any thread, must not block, and is called at most once, only
  /// until the body is complete. Refuses bodies over `max_bytes`.
  /// `server` tells the servers of one budget apart.
  ArrivingBody(BodyBudget& budget, const void* server, std::size_t max_bytes,
               std::function<void()> close);
  ~ArrivingBody();
  ArrivingBody(const ArrivingBody&) = delete;
  ArrivingBody& operator=(const ArrivingBody&) = delete;

  /// Judges the body by the size that its headers name, before any of it is read. kClose means that
  /// the connection must be closed after the response 413: so much would not be read.
  BodyVerdict Announce(std::uint64_t bytes);

  /// Keeps `bytes`. A refused body is discarded, and is closed once it exceeds what is read of it.
  BodyVerdict Append(std::string_view bytes);

  /// The body has arrived. Moves it to `body` if it was kept; its memory counts until this object
  /// is destroyed.
  BodyVerdict Complete(std::string& body);

 private:
  friend class BodyBudget;

  /// The functions below require the budget's mutex to be held.
  void Refuse(BodyVerdict verdict);
  void Close();
  /// Memory times the time for which it has been in use; a millisecond at least, so that size
  /// counts among new bodies.
  double CostAt(Milliseconds now, std::size_t occupied_bytes) const;
  double CostAt(Milliseconds now) const { return CostAt(now, m_occupied_bytes); }
  void BeginWindow(Milliseconds now);
  /// Whether the body fell short of the minimum rate in a window that has ended by `now`.
  bool IsSlow(Milliseconds now, const BodyBudgetLimits& limits);
  std::uint64_t MaxReadBytes() const;

  BodyBudget& m_budget;
  const void* const m_server;
  const std::size_t m_max_bytes;
  const std::function<void()> m_close;
  const Milliseconds m_began_at;
  BodyVerdict m_verdict = BodyVerdict::kKept;
  bool m_complete = false;
  PageBuffer m_bytes;
  std::size_t m_occupied_bytes = 0;
  /// Received bytes, including discarded ones.
  std::uint64_t m_received_bytes = 0;
  Milliseconds m_window_began_at;
  std::uint64_t m_bytes_at_window_start = 0;
};

}  // namespace papayalift
