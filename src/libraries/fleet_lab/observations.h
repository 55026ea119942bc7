/// What one run of the fleet lab saw from outside. Times are on the machine's boot clock, which all
/// processes of the machine share.
#pragma once

#include <string>
#include <vector>

#include "libraries/calls/call_messages.h"
#include "libraries/model/job_record.h"
#include "stand_ins/control/control_messages.h"

namespace papayalift {

enum class AnswerKind {
  /// Whole, and to this request.
  kOwn,
  /// Whole, but to another request, or with another's result.
  kForeign,
  /// The entry node's connection broke or stayed silent.
  kNone,
  /// The request never left.
  kNotSent,
};

struct CallObservation {
  std::string request_id;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  NodeId node;
  Verdict verdict = Verdict::kMayHaveRun;
  AnswerKind answer = AnswerKind::kNone;
  Milliseconds sent_at{0};
  Milliseconds took{0};
  /// Why there is no result.
  std::string reason;
};

enum class SubmitResult {
  kAccepted,
  /// Answered "not run", or never sent.
  kRefused,
  kUnclear,
};

struct JobObservation {
  JobSpec spec;
  JobId id;
  NodeId node;
  SubmitResult submit = SubmitResult::kUnclear;
  Milliseconds submitted_at{0};
  /// The newest record that a node showed.
  JobRecord record;
  /// Why it was refused.
  std::string reason;
};

struct WorkerStart {
  WorkerId worker;
  StartRecord start;
};

struct MinionBegin {
  MinionId minion;
  BeginRecord begin;
};

struct AttemptRenewal {
  WorkerId worker;
  RenewalRecord renewal;
};

/// A span of time; `until` is the largest value where it has not ended.
struct TimeWindow {
  Milliseconds from{0};
  Milliseconds until{Milliseconds::max()};

  bool Covers(Milliseconds at) const { return at >= from && at < until; }
  bool Overlaps(Milliseconds other_from, Milliseconds other_until) const {
    return from < other_until && other_from < until;
  }
};

/// From the answer that accepted a zone out until the request to bring it back was sent.
struct ZoneWindow {
  ZoneId zone;
  TimeWindow out;
};

/// A node was killed, stopped or frozen.
struct NodeWindow {
  NodeId node;
  TimeWindow window;
};

/// A target is not in the bundle in force.
struct RetireWindow {
  std::string target;
  TimeWindow window;
};

struct GracefulStop {
  NodeId node;
  TimeWindow window;
};

struct BundleRoll {
  BundleVersion version;
  Milliseconds accepted_at{0};
};

struct BundleSighting {
  NodeId node;
  /// Of the node's process.
  int process = 0;
  Milliseconds at{0};
  BundleVersion version;
};

/// How long one attempt ran with some of its tasks not running.
struct PartialGang {
  AttemptId attempt;
  Milliseconds longest{0};
};

/// Two attempts of one job were seen running at once.
struct ConcurrentAttempts {
  AttemptId first;
  AttemptId second;
  Milliseconds at{0};
};

/// A job of a guaranteed shape, submitted while others borrow.
struct GuaranteeProbe {
  JobId job;
  Milliseconds asked_at{0};
  /// 0 where it was not seen to start.
  Milliseconds started_at{0};
};

/// Work done in one span of time.
struct WorkSample {
  Milliseconds at{0};
  /// Tasks running on workers, times the time since the sample before.
  Milliseconds task_time{0};
};

struct Observations {
  std::vector<CallObservation> calls;
  std::vector<JobObservation> jobs;
  std::vector<WorkerStart> starts;
  std::vector<MinionBegin> begins;
  std::vector<AttemptRenewal> renewals;
  std::vector<ZoneWindow> zones_out;
  std::vector<TimeWindow> store_away;
  std::vector<NodeWindow> nodes_down;
  std::vector<NodeWindow> nodes_killed;
  std::vector<RetireWindow> retired;
  std::vector<GracefulStop> graceful_stops;
  std::vector<BundleRoll> rolls;
  std::vector<BundleSighting> sightings;
  std::vector<PartialGang> partial_gangs;
  std::vector<ConcurrentAttempts> concurrent_attempts;
  std::vector<GuaranteeProbe> probes;
  std::vector<WorkSample> work;
  /// Attempts whose gang was watched.
  std::int64_t gangs_watched = 0;
};

}  // namespace papayalift
