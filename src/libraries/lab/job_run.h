/// How far one job has come in a run.
#pragma once

#include <optional>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/lab/attempt_work.h"
#include "libraries/model/placement_record.h"

namespace papayalift {

enum class RunState {
  /// Not submitted yet.
  kPending,
  /// Refused at the door: it could never run.
  kRefused,
  kWaiting,
  /// Its gang holds accelerators, in whichever phase.
  kHolding,
  kDone,
  kCancelled,
};

enum class AttemptOutcome { kRuns, kFails };

struct JobRun {
  RunState state = RunState::kPending;
  /// Position of its workspace in the scenario.
  std::size_t workspace = 0;
  int attempt = 0;
  Milliseconds waiting_since{0};
  std::optional<Milliseconds> first_run;
  Milliseconds ended_at{0};
  /// Progress that the last checkpoint holds.
  Milliseconds checkpoint{0};
  /// The most progress that any attempt made.
  Milliseconds max_progress{0};
  /// Time that its gangs have held accelerators, this attempt not included.
  Milliseconds attained_time{0};
  std::vector<AttemptWork> work;

  /// The rest counts only while the state is kHolding.
  PlacementPhase phase = PlacementPhase::kReserved;
  AfterStop after_stop = AfterStop::kQueueAgain;
  AttemptOutcome outcome = AttemptOutcome::kRuns;
  Claim claim = Claim::kBorrowed;
  ZoneId zone;
  std::vector<TaskPlacement> tasks;
};

}  // namespace papayalift
