/// Where one gang sits, as the key-value service holds it.
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
  /// Held for the gang; no start was sent.
  kReserved,
  /// A start may have reached a worker.
  kCommitted,
  /// No renewals any more; its tasks are being stopped.
  kStopping,
};

/// Whether a start of the gang may have left a node.
enum class StartSent { kNo, kMaybe };

/// Whether the gang counts against its workspace's guarantee or may be reclaimed.
enum class Claim { kGuaranteed, kBorrowed };

/// What becomes of the job once its gang has stopped.
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
  /// Only while stopping, as the two below. kNo: it was still reserved, and no commit of it can
  /// succeed any more.
  StartSent start_sent = StartSent::kMaybe;
  AfterStop after_stop = AfterStop::kQueueAgain;
  std::string stop_reason;
};

}  // namespace papayalift
