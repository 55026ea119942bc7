/// Observations of one run of the fleet lab, made from outside. Times are on the machine's boot
/// clock, which all processes of the machine share.
#pragma once

#include <string>
#include <vector>

#include "libraries/calls/call_messages.h"
#include "libraries/model/job_record.h"
#include "stand_ins/control/control_messages.h"

namespace papayalift {

enum class AnswerKind {
  /// Complete, and the answer to this request.
  kOwn,
  /// Complete, but the answer to another request or with the result of another.
  kForeign,
  /// The connection to the entry node broke or timed out.
  kNone,
  /// The request was not sent.
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
  /// The newest record that a node returned.
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

/// A time interval; `until` is the largest value while it has not ended.
struct TimeWindow {
  Milliseconds from{0};
  Milliseconds until{Milliseconds::max()};

  bool Covers(Milliseconds at) const { return at >= from && at < until; }
  bool Overlaps(Milliseconds other_from, Milliseconds other_until) const {
    return from < other_until && other_from < until;
  }
};

/// Lasts from the answer that accepted taking the zone out until the request to bring it back.
struct ZoneWindow {
  ZoneId zone;
  TimeWindow out;
};

/// Time during which a node was killed, stopped or frozen.
struct NodeWindow {
  NodeId node;
  TimeWindow window;
};

/// Time during which a target is not in the bundle in force.
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
  /// Id of the node's process.
  int process = 0;
  Milliseconds at{0};
  BundleVersion version;
};

/// The longest time that an attempt ran with only some of its tasks.
struct PartialGang {
  AttemptId attempt;
  Milliseconds longest{0};
};

/// Two attempts of one job that were seen running at the same time.
struct ConcurrentAttempts {
  AttemptId first;
  AttemptId second;
  Milliseconds at{0};
};

/// A job of a guaranteed shape, submitted while others borrow.
struct GuaranteeProbe {
  JobId job;
  Milliseconds asked_at{0};
  /// 0 if no start was observed.
  Milliseconds started_at{0};
};

/// Work done since the previous sample.
struct WorkSample {
  Milliseconds at{0};
  /// Number of tasks running on workers, multiplied by the time since the previous sample.
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
  /// Number of attempts whose gang was watched.
  std::int64_t gangs_watched = 0;
};

}  // namespace papayalift
