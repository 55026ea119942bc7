/// Messages of the stand-ins' control interface: fault and conduct orders, and records of events.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "stand_ins/control/fault_rule.h"

namespace papayalift {

struct FaultOrder {
  std::vector<FaultRule> rules;
  std::uint64_t seed = 1;
};

enum class Conduct {
  kNormal,
  /// Worker: every task fails immediately.
  kFailsEverything,
  /// Minion: refuses every call as if all slots were busy.
  kRefuses,
  /// Minion: responds with the id of another request.
  kAnswersCrossed,
};

/// Sets the behavior of a stand-in; fields for another kind of stand-in are ignored.
struct ConductOrder {
  Conduct conduct = Conduct::kNormal;
  /// Worker: age of its attempt reports.
  Milliseconds report_lag{0};
  /// Minion: duration of a call.
  Milliseconds work{5};
};

/// Start of an attempt's tasks on a worker. Times are on the machine's boot clock.
struct StartRecord {
  AttemptId attempt;
  JobId job;
  int tasks = 0;
  Milliseconds at{0};
};

/// Renewal of a running attempt, `gap` after its start or previous renewal.
struct RenewalRecord {
  AttemptId attempt;
  Milliseconds at{0};
  Milliseconds gap{0};
};

struct RunningAttempt {
  AttemptId attempt;
  int tasks = 0;
};

struct WorkerRecord {
  /// Starts from the requested index on.
  std::vector<StartRecord> starts;
  std::vector<RenewalRecord> renewals;
  std::vector<RunningAttempt> running;
};

/// Start of a request's work on a minion.
struct BeginRecord {
  std::string request_id;
  Milliseconds at{0};
};

struct MinionRecord {
  std::vector<BeginRecord> begins;
};

}  // namespace papayalift
