/// Writes the lease record for one term: first that this leader may grant leases, then which
/// minions with runs do not answer and so get none. What it lists, a later leader need not wait for
/// anew.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libraries/journal/lease_record.h"
#include "libraries/leader/leader_state.h"
#include "libraries/leader/term_history.h"
#include "libraries/loop/timers.h"
#include "libraries/work/store_port.h"

namespace papayalift {

struct LeaseRecorderCallbacks {
  /// The record of this term is stored: leases may be granted.
  std::function<void()> on_opened;
  std::function<void()> on_loaded;
  /// The minion is no longer listed: leases may be granted to it.
  std::function<void(const MinionId&)> on_removed;
  /// Within which time all leases of the minion have expired; nullopt if it need not be listed, as
  /// it has answered or has no runs.
  std::function<std::optional<Milliseconds>(const MinionId&)> leases_left;
  /// Another leader has been elected.
  std::function<void(const std::string& reason)> on_superseded;
  /// A call sent at `sent_at` was answered while this term was still held.
  std::function<void(Milliseconds sent_at)> on_confirmed;
  /// When the term was last confirmed.
  std::function<Milliseconds()> term_confirmed_at;
};

class LeaseRecorder : public std::enable_shared_from_this<LeaseRecorder> {
 public:
  /// `longest_lease` is on this process's clock.
  LeaseRecorder(Timers& timers, StorePort& store, LeaderState& state, const TermHistory& history,
                Milliseconds longest_lease, LeaseRecorderCallbacks callbacks);

  /// Reads the record.
  void Load();
  bool is_loaded() const { return m_is_loaded; }
  /// Writes the record with this term's token. It also lists those of the minions that have not
  /// answered in this term, so that a later leader need not wait for them anew, even if this term
  /// ends soon.
  void Open(const std::set<MinionId>& minions);
  /// Whether the store held a record when this term began.
  bool had_record() const { return m_had_record; }

  /// When all leases that former leaders granted to the minion have expired, on this process's
  /// clock. Only known once the record is open.
  Milliseconds FormerLeasesEnd(const MinionId& minion) const;

  /// Lists the minion if it is still silent after a short delay.
  void AddSilent(const MinionId& minion);

  /// Removes the minion from the record, if it is listed. It waits for a lease.
  void RemoveHeard(const MinionId& minion);

  /// Removes minions without runs that have not been silent in this term, or for that long.
  void RemoveNeedless(Milliseconds min_silence);

  void Close() { m_is_closed = true; }

 private:
  /// A record that was sent and is not answered yet.
  struct Write {
    LeaseRecord record;
    std::string text;
    Milliseconds sent_at{0};
  };

  void Inherit(const ReadAnswer& answer);
  void Remove(const MinionId& minion, Milliseconds delay);
  void ScheduleWrite(Milliseconds delay);
  void StartWrite();
  LeaseRecord BuildRecord();
  /// The entry with what is left by now of the minion's leases.
  SilentMinion WithLeasesLeftNow(SilentMinion silent) const;
  void SendWrite();
  void OnAnswer(const CommitAnswer& answer);
  void OnConflict(const CommitAnswer& answer);
  void FinishWrite(Revision revision);
  void RetryLater(std::function<void(LeaseRecorder&)> action, const std::string& error);
  void UpdateState();
  bool IsListed(const MinionId& minion) const;
  /// Whether the store already holds what is to be written.
  bool IsStored(const LeaseRecord& record) const;
  Milliseconds Now() const { return m_timers.clock().Now(); }

  Timers& m_timers;
  StorePort& m_store;
  LeaderState& m_state;
  const TermHistory& m_history;
  const Milliseconds m_longest_lease;
  const LeaseRecorderCallbacks m_callbacks;
  bool m_is_loaded = false;
  bool m_is_opening = false;
  bool m_is_open = false;
  bool m_is_closed = false;
  bool m_had_record = false;
  /// For minions that were listed when this term began, when their leases have expired.
  std::map<MinionId, Milliseconds> m_former_leases_end;
  /// The same for all others.
  Milliseconds m_other_leases_end{0};
  /// When the leases of listed minions have expired, whoever granted them.
  std::map<MinionId, Milliseconds> m_listed_leases_end;
  /// What the store holds, and under which revision.
  std::map<MinionId, SilentMinion> m_stored;
  Revision m_revision{0};
  std::optional<Write> m_write;
  /// Minions to be added, and those to be removed, by the next write.
  std::set<MinionId> m_added;
  std::set<MinionId> m_removed;
  std::int64_t m_last_number = 0;
  TimerId m_write_timer = 0;
  Milliseconds m_write_due{0};
  Milliseconds m_last_write_at{0};
};

}  // namespace papayalift
