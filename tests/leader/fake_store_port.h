/// A store port on an in-memory store. It answers after a few milliseconds of virtual time and can
/// inject faults.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/loop/timers.h"
#include "libraries/work/store_port.h"
#include "stand_ins/fleet/fleet_store.h"

namespace papayalift {

enum class StoreFault {
  kNone,
  /// Rejected without effect.
  kRefused,
  /// Applied, but not answered.
  kAnswerLost,
  /// Not answered, and applied seconds later if its conditions still hold.
  kAppliedLate,
};

/// The connection of one node to the store.
class FakeStorePort final : public StorePort {
 public:
  FakeStorePort(Timers& timers, FleetStore& store) : m_timers(timers), m_store(store) {}

  void Commit(const Transaction& transaction, std::function<void(CommitAnswer)> callback) override;
  void Read(const std::string& key, std::function<void(ReadAnswer)> callback) override;
  void ReadAll(const std::string& prefix, std::function<void(ReadAnswer)> callback) override;
  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             std::function<void(WatchAnswer)> callback) override;
  void GrantLease(Milliseconds time_to_live, std::function<void(LeaseAnswer)> callback) override;
  void RenewLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) override;
  void RevokeLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) override;

  /// Applies the faults to the next commits, in order.
  void FailNextCommits(std::deque<StoreFault> faults) { m_faults = std::move(faults); }
  /// While the store is unreachable, calls time out.
  void SetReachable(bool is_reachable) { m_is_reachable = is_reachable; }
  /// From now on each commit and read is answered after twice this time.
  void SetNetworkDelay(Milliseconds delay) { m_network_delay = delay; }
  /// The next renewals of leases don't reach the store.
  void LoseNextRenewals(int renewals) { m_renewals_to_lose = renewals; }
  /// Rejects the next reads without effect.
  void RefuseNextReads(int reads) { m_reads_to_refuse = reads; }
  /// While watches are silent, they report no changes.
  void SetWatchesSilent(bool is_silent) { m_watches_are_silent = is_silent; }
  /// From now on the store and the network take no time of the process, and answers are passed on
  /// by `deliver`, so that they wait for their turn in a slow process.
  void SetDelivery(Timers& world, std::function<void(std::function<void()>)> deliver) {
    m_world = &world;
    m_deliver = std::move(deliver);
  }
  /// Simulates the end of the process: no answer is delivered any more.
  void Detach() { m_is_detached = true; }

  int commits() const { return m_commits; }
  int reads() const { return m_reads; }
  /// Reads of all items below a prefix.
  int range_reads() const { return m_range_reads; }
  /// Number of conditions and writes in the largest transaction so far.
  std::size_t max_entries() const { return m_max_entries; }

 private:
  static constexpr Milliseconds kNetworkDelay{2};

  Timers& WorldTimers() { return m_world == nullptr ? m_timers : *m_world; }
  /// The callback, so that it runs when the process has come to it.
  template <typename Answer>
  std::function<void(Answer)> InTurn(std::function<void(Answer)> callback) {
    if (!m_deliver) {
      return callback;
    }
    return [this, callback = std::move(callback)](const Answer& answer) {
      m_deliver([this, callback, answer] {
        if (!m_is_detached) {
          callback(answer);
        }
      });
    };
  }
  void RunLater(Milliseconds delay, std::function<void()> action);
  /// Calls `read` with whether the read is answered, once it is answered or has failed.
  void RunRead(std::function<void(bool is_answered)> read);
  void PollWatch(const std::string& prefix, Revision after, Milliseconds until,
                 const std::function<void(WatchAnswer)>& callback);

  Timers& m_timers;
  Timers* m_world = nullptr;
  std::function<void(std::function<void()>)> m_deliver;
  FleetStore& m_store;
  std::deque<StoreFault> m_faults;
  Milliseconds m_network_delay = kNetworkDelay;
  int m_reads_to_refuse = 0;
  int m_renewals_to_lose = 0;
  bool m_is_reachable = true;
  bool m_watches_are_silent = false;
  bool m_is_detached = false;
  int m_commits = 0;
  int m_reads = 0;
  int m_range_reads = 0;
  std::size_t m_max_entries = 0;
};

}  // namespace papayalift
