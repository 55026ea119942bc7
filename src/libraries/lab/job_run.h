/// State and progress of one job in a run.
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
  /// Refused at admission because it can never run.
  kRefused,
  kWaiting,
  /// Its gang holds accelerators, in any placement phase.
  kHolding,
  kDone,
  kCancelled,
};

enum class AttemptOutcome { kRuns, kFails };

struct JobRun {
  RunState state = RunState::kPending;
  /// Index of its workspace in the scenario.
  std::size_t workspace = 0;
  int attempt = 0;
  Milliseconds waiting_since{0};
  std::optional<Milliseconds> first_run;
  Milliseconds ended_at{0};
  /// Progress saved by the last checkpoint.
  Milliseconds checkpoint{0};
  /// Largest progress reached by any attempt.
  Milliseconds max_progress{0};
  /// Time for which its earlier attempts held accelerators.
  Milliseconds attained_time{0};
  std::vector<AttemptWork> work;

  /// The members below are valid only in state kHolding.
  PlacementPhase phase = PlacementPhase::kReserved;
  AfterStop after_stop = AfterStop::kQueueAgain;
  AttemptOutcome outcome = AttemptOutcome::kRuns;
  Claim claim = Claim::kBorrowed;
  ZoneId zone;
  std::vector<TaskPlacement> tasks;
};

}  // namespace papayalift
