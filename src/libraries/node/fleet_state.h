/// A node's copy of the records in the key-value service, kept by its watch.
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
  /// Replaces everything by a fresh read of the whole range; an older one is passed over.
  void Reset(const RangeAnswer& answer);
  /// Applies changes; older ones than what is known are passed over.
  void Apply(const WatchBatch& batch);
  /// Puts a newer bundle in force; an older one is passed over.
  void SetBundle(std::shared_ptr<const BundleInForce> bundle);

  /// Never null; does not change once handed out.
  std::shared_ptr<const FleetView> View() const;

  /// The version that `bundle-current` names; 0 before the first roll.
  BundleVersion rolled_version() const;
  bool synchronized() const;

  /// The revision that the watch has confirmed this copy to; a View() taken later holds all of it.
  Revision followed_revision() const;

  /// Waits until `done` holds for the view, or `limit` has passed; returns the last view.
  std::shared_ptr<const FleetView> WaitUntil(const std::function<bool(const FleetView&)>& done,
                                             Milliseconds limit) const;

  /// Waits for any change after `seen`, at most for `limit`.
  void WaitForChange(Revision seen, Milliseconds limit) const;

  /// Wakes all that wait, without a change.
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
