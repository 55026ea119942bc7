/// The leader's interface to minions.
#pragma once

#include <functional>

#include "libraries/work/run_messages.h"

namespace papayalift {

/// Callbacks are called asynchronously, on the caller's thread and exactly once. Each call has its
/// own timeout.
class MinionPort {
 public:
  virtual ~MinionPort() = default;

  virtual void Start(const MinionAddress& minion, const StartOrder& order,
                     std::function<void(OrderAnswer)> callback) = 0;
  virtual void Stop(const MinionAddress& minion, const StopOrder& order,
                    std::function<void(OrderAnswer)> callback) = 0;
  /// Renews the minion's lease, acknowledges ends and requests a report.
  virtual void Hold(const MinionAddress& minion, const HoldOrder& order,
                    std::function<void(HoldAnswer)> callback) = 0;
};

}  // namespace papayalift
