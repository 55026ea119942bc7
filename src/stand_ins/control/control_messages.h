/// What a stand-in is told by its controls, and what it tells of what it saw.
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
  /// Worker: every task fails at once.
  kFailsEverything,
  /// Minion: refuses every call as if no slot were free.
  kRefuses,
  /// Minion: answers with the id of another request.
  kAnswersCrossed,
};

/// How a stand-in itself behaves; each reads the fields that it knows.
struct ConductOrder {
  Conduct conduct = Conduct::kNormal;
  /// Worker: how old the reports of its attempts are.
  Milliseconds report_lag{0};
  /// Minion: how long a call takes.
  Milliseconds work{5};
};

/// Tasks of one attempt began on a worker. Times are on the machine's boot clock.
struct StartRecord {
  AttemptId attempt;
  JobId job;
  int tasks = 0;
  Milliseconds at{0};
};

/// A running attempt was renewed after `gap`.
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
  /// Those from the index that was asked for on.
  std::vector<StartRecord> starts;
  std::vector<RenewalRecord> renewals;
  std::vector<RunningAttempt> running;
};

/// A minion began to serve a request.
struct BeginRecord {
  std::string request_id;
  Milliseconds at{0};
};

struct MinionRecord {
  std::vector<BeginRecord> begins;
};

}  // namespace papayalift
