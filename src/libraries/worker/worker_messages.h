/// Messages between an entry node and a worker. A message covers the tasks of one gang on one
/// worker; a renewal covers all gangs that the node renews there.
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

/// Reserves accelerators for a gang without starting anything.
struct PrepareRequest {
  WorkerTarget worker;
  JobId job;
  AttemptId attempt;
  /// One set for each task on this worker.
  std::vector<AcceleratorSet> tasks;
  Milliseconds reservation_lease{0};
};

/// Starts the tasks of an earlier reservation; refused if the reservation has expired.
struct StartRequest {
  WorkerTarget worker;
  AttemptId attempt;
  std::string payload;
  Milliseconds run_lease{0};
  /// Work saved in the checkpoint of an earlier attempt.
  Milliseconds resume_from{0};
};

enum class StopMode { kCheckpoint, kAtOnce };

/// Stops an attempt in any state, and keeps it from ever starting on this worker.
struct StopRequest {
  WorkerTarget worker;
  JobId job;
  AttemptId attempt;
  StopMode mode = StopMode::kCheckpoint;
};

/// Extends run leases, and never shortens one: a renewal with a lease of 0 only asks for a report.
struct RenewRequest {
  WorkerTarget worker;
  std::vector<AttemptId> attempts;
  Milliseconds run_lease{0};
};

enum class ReplyKind {
  kGranted,
  /// The worker refused the request and changed nothing.
  kRefused,
  /// The request is known not to have reached the worker.
  kNotSent,
  /// No usable answer; the worker may have carried out the request.
  kUnclear,
};

struct WorkerReply {
  ReplyKind kind = ReplyKind::kNotSent;
  std::string reason;
};

enum class AttemptPhase {
  /// The worker has no record of the attempt.
  kUnknown,
  kReserved,
  kRunning,
  kSucceeded,
  kFailed,
  /// Stopped on request or because its lease expired.
  kStopped,
};

enum class EverStarted {
  /// The worker has a record of the attempt and never started it.
  kNo,
  /// The attempt started, or the worker has no record of it and can't rule that out.
  kYes,
};

/// A worker's report on one attempt.
struct AttemptReport {
  AttemptId attempt;
  AttemptPhase phase = AttemptPhase::kUnknown;
  EverStarted ever_started = EverStarted::kNo;
  /// Work saved in the latest checkpoint.
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
