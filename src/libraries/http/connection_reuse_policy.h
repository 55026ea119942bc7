/// Decides how long connections to a group of peers may have been idle to be used again.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// Connections can die without a reset, singly or many together, so that a call on them is never
/// answered. After a call without an answer, connections to that peer that were idle at that time
/// are not used again. If most calls on kept connections of the whole group go unanswered, the same
/// applies to all peers. Load that it answers: a few of hundreds of peers do not answer for
/// seconds, which must not close the connections to all others again and again.
class ConnectionReusePolicy {
 public:
  explicit ConnectionReusePolicy(const Clock& clock) : m_clock(clock) {}

  void RecordAnswer(const std::string& peer, ConnectionOrigin origin);
  void RecordSilence(const std::string& peer, ConnectionOrigin origin);

  /// Value for AsyncHttpCall::max_connection_idle of a call to the peer.
  std::chrono::seconds MaxIdle(const std::string& peer) const;

 private:
  void StartWindowIfOver();

  const Clock& m_clock;
  /// When each peer last left a call unanswered; only within the last kMaxIdle.
  std::map<std::string, Milliseconds> m_silent_at;
  /// When most kept connections of the group were last found dead.
  Milliseconds m_group_silent_at{-3'600'000};
  Milliseconds m_window_began_at{0};
  /// Calls on kept connections in the current window.
  int m_answered = 0;
  int m_silent = 0;
};

}  // namespace papayalift
