/// Decides which cancellations of jobs that are not stored may be stored. Load that it answers: a
/// consumer that cancels random ids as fast as it can, which would fill the store with records and
/// take its writes from terms, placements and submissions.
#pragma once

#include <map>
#include <optional>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"

namespace papayalift {

struct WithdrawalLimits {
  /// Withdrawals that one workspace, and all together, may store at one node without a pause.
  double workspace_burst = 50;
  double node_burst = 100;
  /// How fast these recover, for each second.
  double workspace_rate = 0.25;
  double node_rate = 0.5;

  /// For a store that executes so many writes a second for all nodes together.
  static WithdrawalLimits ForStore(double writes_per_second);
};

class WithdrawalLimiter {
 public:
  explicit WithdrawalLimiter(const WithdrawalLimits& limits)
      : m_limits(limits), m_node{limits.node_burst} {}

  /// Admits a withdrawal of the workspace (nullopt), or returns the time after which there will be
  /// room for it. Of several that are refused each is told a time of its own.
  std::optional<Milliseconds> Admit(const WorkspaceId& workspace, Milliseconds now);

 private:
  struct Bucket {
    double tokens = 0;
    Milliseconds filled_at{0};
    /// The latest time that was told to a refused one.
    Milliseconds promised_at{0};
  };

  static void Fill(Bucket& bucket, double burst, double rate, Milliseconds now);
  static Milliseconds NextSlot(Bucket& bucket, double rate, Milliseconds now);
  /// Drops workspaces that have used nothing for as long as it takes to recover.
  void DropFullBuckets(Milliseconds now);

  const WithdrawalLimits m_limits;
  Bucket m_node;
  std::map<WorkspaceId, Bucket> m_workspaces;
};

}  // namespace papayalift
