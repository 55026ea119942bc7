/// A node's cached copy of the records in the key-value service, kept up to date by a watch.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "libraries/node/fleet_view.h"
#include "libraries/store/key_value_service.h"

namespace papayalift {

class FleetState {
 public:
  /// Replaces all records by a read of the whole range. Ignores a read older than this copy.
  void Reset(const RangeAnswer& answer);
  /// Applies changes. Ignores those that are older than the records they concern.
  void Apply(const WatchBatch& batch);
  /// Puts a newer bundle in force. Ignores an older one.
  void SetBundle(std::shared_ptr<const BundleInForce> bundle);

  /// An immutable snapshot of the copy; never null.
  std::shared_ptr<const FleetView> View() const;

  /// The version named by the record `bundle-current`; 0 before the first roll.
  BundleVersion rolled_version() const;
  bool synchronized() const;

  /// The revision that the watch has followed the store to. A View() taken afterwards holds all
  /// changes up to it.
  Revision followed_revision() const;

  /// Waits until `done` holds for the view, or `limit` has passed; returns the last view.
  std::shared_ptr<const FleetView> WaitUntil(const std::function<bool(const FleetView&)>& done,
                                             Milliseconds limit) const;

  /// Waits for any change after `seen`, for at most `limit`.
  void WaitForChange(Revision seen, Milliseconds limit) const;

  /// Wakes all waiting threads without a change.
  void Wake();

 private:
  void PutLocked(const KeyValue& record);
  void DeleteLocked(const KeyValue& record);
  std::shared_ptr<const FleetView> PublishedLocked() const;

  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  FleetView m_current;
  bool m_synchronized = false;
  mutable std::shared_ptr<const FleetView> m_published;
  std::int64_t m_wake_count = 0;
};

}  // namespace papayalift
