/// When this process has first seen the terms of leaders and the entries of the lease record. A
/// time at which something was seen is never before it was written, so what ends some time after
/// that is known to have ended, without comparing the clocks of two processes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "libraries/base/units.h"
#include "libraries/journal/lease_record.h"
#include "libraries/work/run_messages.h"

namespace papayalift {

class TermHistory {
 public:
  /// The term of the token has begun by `now`.
  void RecordTerm(FencingToken token, Milliseconds now);

  /// The holder of the term may grant leases without writing a record: what was known of leases
  /// does not hold any more.
  void RecordTermWithoutRecord(FencingToken token);

  /// The store holds a record that can't be read. Its entries are not known any more.
  void RecordUnreadableLeases() { m_leases_end.clear(); }

  /// The store holds the record by `now`.
  void RecordLeases(const LeaseRecord& record, Milliseconds now);

  /// Token of the last term that was seen whose holder writes no record; 0 if none was seen.
  FencingToken last_term_without_record() const { return m_last_term_without_record; }

  /// When a term with a higher token was first seen; nullopt if none was.
  std::optional<Milliseconds> TermSeenAfter(FencingToken token) const;

  /// When all leases have expired that the minion was granted; nullopt if the entry was not seen.
  std::optional<Milliseconds> LeasesEnd(const SilentMinion& entry) const;

 private:
  std::map<FencingToken, Milliseconds> m_terms;
  /// By minion and number of the entry.
  std::map<std::pair<MinionId, std::int64_t>, Milliseconds> m_leases_end;
  FencingToken m_last_term_without_record;
};

}  // namespace papayalift
