/// The placement of one gang, as stored in the key-value service.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/accelerator_set.h"
#include "libraries/model/shape.h"

namespace papayalift {

struct TaskPlacement {
  WorkerId worker;
  AcceleratorSet accelerators;

  bool operator==(const TaskPlacement&) const = default;
};

enum class PlacementPhase {
  /// Capacity is reserved for the gang; no start was sent.
  kReserved,
  /// A start may have reached a worker.
  kCommitted,
  /// Its run is no longer renewed, and its tasks are being stopped.
  kStopping,
};

/// Whether a node may have sent a start of the gang.
enum class StartSent { kNo, kMaybe };

/// Whether the gang counts against its workspace's guarantee or may be reclaimed.
enum class Claim { kGuaranteed, kBorrowed };

/// What happens to the job once its gang has stopped.
enum class AfterStop { kQueueAgain, kCancel, kFail };

struct PlacementRecord {
  JobId job;
  WorkspaceId workspace;
  AttemptId attempt_id;
  ZoneId zone;
  Shape shape;
  Claim claim = Claim::kBorrowed;
  PlacementPhase phase = PlacementPhase::kReserved;
  std::vector<TaskPlacement> tasks;
  /// Wall clock of the reservation.
  Milliseconds reserved_at{0};
  /// Meaningful only in phase kStopping, like the two members below. kNo: the gang was stopped
  /// while only reserved, and no commit of it can succeed any more.
  StartSent start_sent = StartSent::kMaybe;
  AfterStop after_stop = AfterStop::kQueueAgain;
  std::string stop_reason;
};

}  // namespace papayalift
