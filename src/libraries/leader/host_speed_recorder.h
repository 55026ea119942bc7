/// Keeps what a leader has learned of the speed of machines in the store, for the next leader.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "libraries/leader/host_speed_record.h"
#include "libraries/leader/leader_state.h"
#include "libraries/loop/timers.h"
#include "libraries/work/store_port.h"

namespace papayalift {

class HostSpeedRecorder : public std::enable_shared_from_this<HostSpeedRecorder> {
 public:
  HostSpeedRecorder(Timers& timers, StorePort& store, LeaderState& state)
      : m_timers(timers), m_store(store), m_state(state) {}

  /// Reads the record of the former leader into the state. Repeats a read that fails.
  void Load();

  /// Writes the record if anything has changed notably. To be called often.
  void WriteIfDue();

  void Close() { m_is_closed = true; }

 private:
  void Inherit(const ReadAnswer& answer);
  /// What is worth keeping: the machines of services whose speeds placement regards.
  HostSpeedRecord BuildRecord() const;
  bool DiffersNotably(const HostSpeedRecord& record) const;
  void Write(const HostSpeedRecord& record);
  void OnAnswer(const CommitAnswer& answer, HostSpeedRecord record, std::size_t parts);
  void OnConflict(const CommitAnswer& answer);
  ClockReading Now() const;

  Timers& m_timers;
  StorePort& m_store;
  LeaderState& m_state;
  bool m_is_loaded = false;
  bool m_is_closed = false;
  bool m_is_write_in_flight = false;
  /// No change is looked for before.
  Milliseconds m_next_check_at{0};
  HostSpeedRecord m_stored;
  /// Revisions of the parts in the store.
  std::map<std::string, Revision> m_revisions;
};

}  // namespace papayalift
