/// Serves the stand-in's store over the platform's HTTP protocol, with injected faults.
#pragma once

#include <deque>
#include <string>

#include "libraries/http/async_http_server.h"
#include "libraries/loop/timers.h"
#include "stand_ins/fleet/fleet_store.h"

namespace papayalift {

/// A fault injected into one call on the store.
enum class StoreCallFault {
  kNone,
  /// Rejected without effect.
  kBusy,
  /// Executed but not answered.
  kAnswerLost,
  /// Not answered, and executed seconds later if its conditions still hold.
  kLate,
};

class StoreWire {
 public:
  StoreWire(Timers& timers, FleetStore& store) : m_timers(timers), m_store(store) {}

  void Handle(const HttpRequest& request, const HttpResponder& respond);

  /// Applies the faults, in order, to the next transactions that write or delete a key with the
  /// prefix; to any transactions if the prefix is empty.
  void FailNext(std::deque<StoreCallFault> faults, std::string written_prefix) {
    m_faults = std::move(faults);
    m_faulty_prefix = std::move(written_prefix);
  }

 private:
  void HandleKey(const HttpRequest& request, const HttpResponder& respond);
  void HandleRange(const HttpRequest& request, const HttpResponder& respond);
  void HandleWatch(const HttpRequest& request, const HttpResponder& respond);
  void PollWatch(const std::string& prefix, Revision after, Milliseconds until,
                 const HttpResponder& respond);
  void HandleTransaction(const HttpRequest& request, const HttpResponder& respond);
  void HandleLease(const HttpRequest& request, const HttpResponder& respond);
  StoreCallFault TakeFault(const Transaction& transaction);

  Timers& m_timers;
  FleetStore& m_store;
  std::deque<StoreCallFault> m_faults;
  std::string m_faulty_prefix;
};

}  // namespace papayalift
