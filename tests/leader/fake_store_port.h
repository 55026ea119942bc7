/// A store in memory that answers after a few milliseconds of virtual time, and misbehaves on
/// demand.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "leader/virtual_timers.h"
#include "libraries/work/store_port.h"

namespace papayalift {

enum class StoreFault {
  kNone,
  /// Refused; nothing is done.
  kRefused,
  /// Done, and not answered.
  kAnswerLost,
  /// Not answered, and done seconds later where its conditions still hold.
  kDoneLate,
};

/// Shared by all nodes of a test.
class FakeStore {
 public:
  explicit FakeStore(VirtualTimers& timers) : m_timers(timers) {}

  CommitAnswer Apply(const Transaction& transaction);
  std::vector<StoreItem> ItemsBelow(const std::string& prefix) const;
  const StoreItem* Find(const std::string& key) const;
  Revision revision() const { return m_revision; }

  /// As an operator or a minion writes.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  StoreLease Grant(Milliseconds time_to_live);
  bool Keep(StoreLease lease);
  void End(StoreLease lease);

  /// Changes below the prefix after a revision; empty optional where they are forgotten.
  std::optional<std::vector<WatchedChange>> ChangesAfter(const std::string& prefix,
                                                         Revision after) const;
  /// Changes up to now can't be watched any more.
  void ForgetHistory() { m_forgotten = m_revision; }

 private:
  struct Lease {
    Milliseconds time_to_live{0};
    Milliseconds ends_at{0};
  };

  void ExpireLeases();
  void Note(WatchedChange change);

  VirtualTimers& m_timers;
  Revision m_revision{1};
  Revision m_forgotten{0};
  std::map<std::string, StoreItem> m_items;
  std::map<std::string, StoreLease> m_lease_of_key;
  std::map<StoreLease, Lease> m_leases;
  std::int64_t m_last_lease = 0;
  std::vector<WatchedChange> m_history;
};

/// One node's way to the store.
class FakeStorePort final : public StorePort {
 public:
  FakeStorePort(VirtualTimers& timers, FakeStore& store) : m_timers(timers), m_store(store) {}

  void Commit(const Transaction& transaction, std::function<void(CommitAnswer)> callback) override;
  void Read(const std::string& key, std::function<void(ReadAnswer)> callback) override;
  void ReadAll(const std::string& prefix, std::function<void(ReadAnswer)> callback) override;
  void Watch(const std::string& prefix, Revision after, Milliseconds wait,
             std::function<void(WatchAnswer)> callback) override;
  void GrantLease(Milliseconds time_to_live, std::function<void(LeaseAnswer)> callback) override;
  void KeepLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) override;
  void EndLease(StoreLease lease, std::function<void(LeaseAnswer)> callback) override;

  /// The next commits meet these, in order.
  void FailNextCommits(std::deque<StoreFault> faults) { m_faults = std::move(faults); }
  /// While cut off, calls run into their limit.
  void SetReachable(bool is_reachable) { m_is_reachable = is_reachable; }
  /// The process that used it has ended: no answer is delivered any more.
  void Abandon() { m_is_abandoned = true; }

  int commits() const { return m_commits; }

 private:
  void Later(Milliseconds delay, std::function<void()> action);
  void PollWatch(const std::string& prefix, Revision after, Milliseconds until,
                 std::function<void(WatchAnswer)> callback);

  VirtualTimers& m_timers;
  FakeStore& m_store;
  std::deque<StoreFault> m_faults;
  bool m_is_reachable = true;
  bool m_is_abandoned = false;
  int m_commits = 0;
};

}  // namespace papayalift
