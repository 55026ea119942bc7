/// Promises between entry nodes to accept no operator change for a while, so that calls go on by
/// the last view while nobody reaches the key-value service.
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
  /// Surely nothing was written.
  kNotApplied,
  /// It may still be applied: no promise is given until this node's copy of the records is
  /// confirmed from a later moment, and so shows whether it was.
  kUnclear,
};

/// One node's side of the promises. Thread-safe.
///
/// A node gives a promise only while it can't reach the key-value service, has no change under way
/// and none unclear; it tells the newest changes it knows with it. A node that holds a promise from
/// every registered node, its own included, and has seen all changes that they tell of, knows that
/// no change was accepted that it has not seen.
class HoldPromises {
 public:
  HoldPromises(const Clock& clock, const StoreProgress& progress);

  /// Gives a promise where this node may.
  HoldPromise TryGivePromise();

  /// The newest changes that this node has made itself.
  KnownChanges own_changes() const;

  /// Whether an operator change may be sent now; if so, EndChange() must follow.
  bool TryBeginChange();
  /// `changes` is what was written; only used where it was applied.
  void EndChange(ChangeResult result, const KnownChanges& changes);

  /// Whether promises from all of `statements` and from this node itself hold now, and none of
  /// them tells of a change beyond `seen`.
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
  /// When the last change ended unclear, until the copy is confirmed from later on.
  std::optional<Milliseconds> m_unclear_since;
  KnownChanges m_own_changes;
};

}  // namespace papayalift
