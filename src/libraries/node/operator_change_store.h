/// Key-value service that delays operators' changes while this node has promised to accept none.
#pragma once

#include "libraries/base/clock.h"
#include "libraries/node/fleet_state.h"
#include "libraries/node/hold_promises.h"
#include "libraries/node/membership.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

/// Passes reads and other writes through. A change of zones or of the bundle in force waits up to a
/// few seconds until this node may make it, and only commits if this node is still registered.
class OperatorChangeStore final : public KeyValueService {
 public:
  OperatorChangeStore(const Clock& clock, KeyValueService& store, const FleetState& state,
                      const Membership& membership, HoldPromises& promises);

  absl::StatusOr<RangeAnswer> Range(const KeyRange& range) override;
  absl::StatusOr<std::vector<RangeAnswer>> RangeAll(const std::vector<KeyRange>& ranges) override;
  TransactionOutcome Commit(const Transaction& transaction) override;
  absl::Status Watch(const KeyRange& range, Revision start, const WatchSink& sink) override;

 private:
  bool WaitToBegin();
  TransactionOutcome CommitChange(const Transaction& transaction);

  const Clock& m_clock;
  KeyValueService& m_store;
  const FleetState& m_state;
  const Membership& m_membership;
  HoldPromises& m_promises;
};

}  // namespace papayalift
