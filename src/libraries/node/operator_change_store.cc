#include "libraries/node/operator_change_store.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "libraries/model/bundle_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/zone_codec.h"

namespace papayalift {

namespace {

constexpr Milliseconds kPollInterval{50};
/// Longer than a promise lasts, and than it usually takes until all nodes have seen a registration.
constexpr Milliseconds kMaxWaitToBegin{5'000};

bool IsOperatorChange(const Transaction& transaction) {
  return std::any_of(transaction.writes().begin(), transaction.writes().end(),
                     [](const Write& write) {
                       return write.key == keys::kZones || write.key == keys::kCurrentBundle;
                     });
}

/// The changes that the transaction would put in force.
KnownChanges ChangesOf(const Transaction& transaction) {
  KnownChanges changes;
  for (const Write& write : transaction.writes()) {
    if (write.key == keys::kZones) {
      const absl::StatusOr<ZoneTable> zones = DecodeZoneTable(write.value);
      changes.zones = zones.ok() ? zones->epoch : ZoneEpoch(0);
    } else if (write.key == keys::kCurrentBundle) {
      const absl::StatusOr<CurrentBundle> bundle = DecodeCurrentBundle(write.value);
      changes.bundle = bundle.ok() ? bundle->version : BundleVersion(0);
    }
  }
  return changes;
}

ChangeResult ResultOf(const TransactionOutcome& outcome) {
  switch (outcome.result) {
    case TransactionResult::kApplied:
      return ChangeResult::kApplied;
    case TransactionResult::kUnclear:
      return ChangeResult::kUnclear;
    case TransactionResult::kConflict:
    case TransactionResult::kNotSent:
      break;
  }
  return ChangeResult::kNotApplied;
}

}  // namespace

OperatorChangeStore::OperatorChangeStore(const Clock& clock, KeyValueService& store,
                                         const FleetState& state, const Membership& membership,
                                         HoldPromises& promises)
    : m_clock(clock),
      m_store(store),
      m_state(state),
      m_membership(membership),
      m_promises(promises) {}

absl::StatusOr<RangeAnswer> OperatorChangeStore::Range(const KeyRange& range) {
  return m_store.Range(range);
}

absl::StatusOr<std::vector<RangeAnswer>> OperatorChangeStore::RangeAll(
    const std::vector<KeyRange>& ranges) {
  return m_store.RangeAll(ranges);
}

absl::Status OperatorChangeStore::Watch(const KeyRange& range, Revision start,
                                        const WatchSink& sink) {
  return m_store.Watch(range, start, sink);
}

TransactionOutcome OperatorChangeStore::Commit(const Transaction& transaction) {
  return IsOperatorChange(transaction) ? CommitChange(transaction) : m_store.Commit(transaction);
}

bool OperatorChangeStore::WaitToBegin() {
  const Milliseconds deadline = m_clock.Now() + kMaxWaitToBegin;
  while (!m_membership.established() || !m_promises.TryBeginChange()) {
    if (m_clock.Now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

TransactionOutcome OperatorChangeStore::CommitChange(const Transaction& transaction) {
  if (!WaitToBegin()) {
    TransactionOutcome refused;
    refused.result = TransactionResult::kNotSent;
    refused.error = "this node can't accept changes yet; ask another";
    return refused;
  }
  const std::optional<Revision> own = m_membership.OwnRecord(*m_state.View());
  if (!own) {
    m_promises.EndChange(ChangeResult::kNotApplied, KnownChanges{});
    return TransactionOutcome{};
  }
  Transaction guarded = transaction;
  guarded.Expect(keys::NodeKey(m_membership.self()), *own);
  TransactionOutcome outcome = m_store.Commit(guarded);
  m_promises.EndChange(ResultOf(outcome), ChangesOf(transaction));
  return outcome;
}

}  // namespace papayalift
