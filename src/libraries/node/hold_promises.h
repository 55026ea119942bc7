/// Hold promises: leases by which entry nodes promise each other to accept no operator change for a
/// short time, so that calls can still be admitted under the last view while no node reaches the
/// key-value service.
#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/units.h"
#include "libraries/node/store_progress.h"
#include "libraries/peers/peer_table.h"

namespace papayalift {

/// The newest operator changes that a node knows of.
struct KnownChanges {
  ZoneEpoch zones;
  BundleVersion bundle;

  bool operator==(const KnownChanges&) const = default;
};

enum class ChangeResult {
  kApplied,
  /// Nothing was written.
  kNotApplied,
  /// The change may still be applied. The node gives no promise until its copy of the records is
  /// confirmed as of a later time, which shows whether the change was applied.
  kUnclear,
};

/// The promises of one node. Thread-safe.
///
/// A node gives a promise only while it can't reach the key-value service, has no change in
/// progress and none with an unclear result. With the promise it sends the newest changes that it
/// knows. A node that holds promises from all registered nodes, including itself, and has seen all
/// changes sent with them, has seen every change that was accepted.
class HoldPromises {
 public:
  HoldPromises(const Clock& clock, const StoreProgress& progress);

  /// Gives a promise if this node may, else returns kNone.
  HoldPromise TryGivePromise();

  /// The newest changes that this node has made itself.
  KnownChanges own_changes() const;

  /// Returns whether an operator change may be sent now. If so, the caller must call EndChange().
  bool TryBeginChange();
  /// `changes` is what was written; only used with kApplied.
  void EndChange(ChangeResult result, const KnownChanges& changes);

  /// Whether the promises of all `peer_states` and of this node are valid now, and none of them
  /// came with a change newer than `seen`.
  bool HoldsAllPromises(const std::vector<std::optional<PeerState>>& peer_states,
                        const KnownChanges& seen);

 private:
  bool MayGivePromiseLocked();

  const Clock& m_clock;
  const StoreProgress& m_progress;
  const Milliseconds m_started_at;
  mutable std::mutex m_mutex;
  std::optional<Milliseconds> m_promised_until;
  int m_changes_under_way = 0;
  /// When the last change ended with an unclear result. Reset once the copy is confirmed as of a
  /// later time.
  std::optional<Milliseconds> m_unclear_since;
  KnownChanges m_own_changes;
};

}  // namespace papayalift
