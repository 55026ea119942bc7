/// What an entry node says to a worker, and what it hears. One message speaks of one gang's tasks
/// on one worker; a renewal speaks of all gangs that the node renews there.
#pragma once

#include <string>
#include <vector>

#include "libraries/base/ids.h"
#include "libraries/base/units.h"
#include "libraries/model/accelerator_set.h"

namespace papayalift {

struct WorkerTarget {
  WorkerId id;
  /// "IP:port"
  std::string address;

  bool operator<(const WorkerTarget& other) const { return id < other.id; }
};

/// Asks to hold accelerators for a gang, with nothing running yet.
struct PrepareRequest {
  WorkerTarget worker;
  JobId job;
  AttemptId attempt;
  /// One set for each task on this worker.
  std::vector<AcceleratorSet> tasks;
  Milliseconds reservation_lease{0};
};

/// Names a reservation made before; refused where it has lapsed.
struct StartRequest {
  WorkerTarget worker;
  AttemptId attempt;
  std::string payload;
  Milliseconds run_lease{0};
  /// Work that the checkpoint of an earlier attempt holds.
  Milliseconds resume_from{0};
};

enum class StopMode { kCheckpoint, kAtOnce };

/// Ends an attempt in whatever state it is, and bars it from ever starting on this worker.
struct StopRequest {
  WorkerTarget worker;
  JobId job;
  AttemptId attempt;
  StopMode mode = StopMode::kCheckpoint;
};

/// Never shortens a lease, so that one of no length only asks for a report.
struct RenewRequest {
  WorkerTarget worker;
  std::vector<AttemptId> attempts;
  Milliseconds run_lease{0};
};

enum class ReplyKind {
  kGranted,
  /// The worker said no; nothing changed there.
  kRefused,
  /// The request surely never arrived.
  kNotSent,
  /// No answer: it may have been done.
  kUnclear,
};

struct WorkerReply {
  ReplyKind kind = ReplyKind::kNotSent;
  std::string reason;
};

enum class AttemptPhase {
  /// The worker knows nothing of it.
  kUnknown,
  kReserved,
  kRunning,
  kSucceeded,
  kFailed,
  /// Stopped on request, or its lease lapsed.
  kStopped,
};

enum class EverStarted {
  /// The worker remembers the attempt, and never started it.
  kNo,
  /// It started, or the worker has no memory of the attempt and can't rule it out.
  kYes,
};

/// What a worker knows of one attempt.
struct AttemptReport {
  AttemptId attempt;
  AttemptPhase phase = AttemptPhase::kUnknown;
  EverStarted ever_started = EverStarted::kNo;
  /// Work that the latest checkpoint holds.
  Milliseconds checkpoint{0};
};

struct StopReply {
  ReplyKind kind = ReplyKind::kNotSent;
  AttemptReport report;
};

struct RenewReply {
  ReplyKind kind = ReplyKind::kNotSent;
  std::vector<AttemptReport> reports;
};

}  // namespace papayalift
