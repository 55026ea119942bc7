/// The connections of one node to minions, in virtual time.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

struct FakeConnection {
  Milliseconds opened_at{0};
  /// When the process at its other end started.
  Milliseconds process_started_at{0};
  bool is_in_use = false;
};

/// Keeps connections as HTTP clients do: a call takes one that is idle, or else opens one, and a
/// call without an answer closes its connection. No connection outlives the process at its other
/// end.
class FakeConnections {
 public:
  /// A connection for a call to the minion, whose process has been listening since then, if one is.
  /// A call to none goes over a connection to the last process, if there was one.
  std::shared_ptr<FakeConnection> Take(const MinionId& minion,
                                       std::optional<Milliseconds> listening_since,
                                       Milliseconds now);
  /// An idle connection that was established by then; nullptr if none is kept.
  std::shared_ptr<FakeConnection> TakeOpenedBy(const MinionId& minion,
                                               std::optional<Milliseconds> listening_since,
                                               Milliseconds opened_by);
  void Release(const MinionId& minion, const std::shared_ptr<FakeConnection>& connection,
               bool is_answered);

 private:
  /// Those that are kept, without those whose process has ended.
  std::vector<std::shared_ptr<FakeConnection>>& KeptTo(const MinionId& minion,
                                                       std::optional<Milliseconds> listening_since);

  std::map<MinionId, std::vector<std::shared_ptr<FakeConnection>>> m_connections;
  /// Over which the latest call to each minion went.
  std::map<MinionId, FakeConnection> m_latest;
};

}  // namespace papayalift
