#include "libraries/fleet_lab/promise_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace papayalift {

namespace {

struct CheckInput {
  const Observations& seen;
  const ZoneOfTarget& zones;
  const PromiseLimits& limits;
};

/// The start of an attempt on a worker or of a call on a minion.
struct Beginning {
  std::string target;
  std::string what;
  Milliseconds at{0};
};

std::vector<Beginning> BeginningsOf(const Observations& seen) {
  std::vector<Beginning> beginnings;
  for (const WorkerStart& start : seen.starts) {
    beginnings.push_back(
        Beginning{start.worker.text(), "attempt " + start.start.attempt.text(), start.start.at});
  }
  for (const MinionBegin& begin : seen.begins) {
    beginnings.push_back(
        Beginning{begin.minion.text(), "call " + begin.begin.request_id, begin.begin.at});
  }
  return beginnings;
}

bool StoreWasAway(const Observations& seen, Milliseconds from, Milliseconds until) {
  return std::any_of(seen.store_away.begin(), seen.store_away.end(),
                     [&](const TimeWindow& away) { return away.Overlaps(from, until); });
}

bool NodeWasDown(const Observations& seen, const NodeId& node, Milliseconds from,
                 Milliseconds until) {
  return std::any_of(seen.nodes_down.begin(), seen.nodes_down.end(), [&](const NodeWindow& down) {
    return down.node == node && down.window.Overlaps(from, until);
  });
}

void CheckGuarantees(const CheckInput& input, PromiseTally& tally) {
  for (const GuaranteeProbe& probe : input.seen.probes) {
    const Milliseconds due = probe.asked_at + input.limits.reclaim;
    if (probe.started_at > Milliseconds(0) && probe.started_at <= due) {
      tally.RecordKept();
    } else if (!StoreWasAway(input.seen, probe.asked_at, due)) {
      tally.RecordBroken(
          fmt::format("job {} of a guaranteed shape, submitted at {} ms, {}", probe.job.text(),
                      probe.asked_at.count(),
                      probe.started_at > Milliseconds(0) ? "started late" : "did not start"));
    }
  }
}

/// Number of tasks started, by attempt.
std::map<AttemptId, int> TasksBegun(const Observations& seen) {
  std::map<AttemptId, int> begun;
  for (const WorkerStart& start : seen.starts) {
    begun[start.start.attempt] += start.start.tasks;
  }
  return begun;
}

void CheckGangs(const CheckInput& input, PromiseTally& tally) {
  for (const PartialGang& gang : input.seen.partial_gangs) {
    if (gang.longest > input.limits.partial_gang) {
      tally.RecordBroken(fmt::format("attempt {} was partial for {} ms", gang.attempt.text(),
                                     gang.longest.count()));
    }
  }
  for (const ConcurrentAttempts& pair : input.seen.concurrent_attempts) {
    tally.RecordBroken(fmt::format("attempts {} and {} of one job ran at once at {} ms",
                                   pair.first.text(), pair.second.text(), pair.at.count()));
  }
  const std::map<AttemptId, int> begun = TasksBegun(input.seen);
  for (const JobObservation& job : input.seen.jobs) {
    if (job.record.state != JobState::kSucceeded) {
      continue;
    }
    const auto tasks = begun.find(job.record.attempt_id);
    const int count = tasks == begun.end() ? 0 : tasks->second;
    if (count == job.spec.shape.tasks.value()) {
      tally.RecordKept();
    } else {
      tally.RecordBroken(fmt::format("job {} succeeded as attempt {} with {} of {} tasks begun",
                                     job.id.text(), job.record.attempt_id.text(), count,
                                     job.spec.shape.tasks.value()));
    }
  }
  tally.checked += input.seen.gangs_watched;
}

void CheckZones(const CheckInput& input, PromiseTally& tally) {
  const std::vector<Beginning> beginnings = BeginningsOf(input.seen);
  for (const ZoneWindow& window : input.seen.zones_out) {
    for (const Beginning& beginning : beginnings) {
      const auto zone = input.zones.find(beginning.target);
      const bool in_zone = zone != input.zones.end() && zone->second == window.zone;
      if (!window.out.Covers(beginning.at)) {
        continue;
      }
      if (!in_zone || beginning.at <= window.out.from + input.limits.zone_out) {
        tally.RecordKept();
      } else {
        tally.RecordBroken(fmt::format(
            "{} began on {} {} ms after {} was taken out", beginning.what, beginning.target,
            (beginning.at - window.out.from).count(), window.zone.text()));
      }
    }
  }
}

void CheckAnswers(const CheckInput& input, PromiseTally& tally) {
  for (const CallObservation& call : input.seen.calls) {
    if (call.answer == AnswerKind::kForeign) {
      tally.RecordBroken(fmt::format("call {} on {} got an answer that is not its own or not whole",
                                     call.request_id, call.node.text()));
    } else if (call.answer == AnswerKind::kOwn) {
      tally.RecordKept();
    }
  }
  for (const JobObservation& job : input.seen.jobs) {
    if (job.submit != SubmitResult::kAccepted) {
      continue;
    }
    if (IsFinal(job.record.state)) {
      tally.RecordKept();
    } else {
      tally.RecordBroken(
          fmt::format("job {} was accepted and never ended: {}", job.id.text(), job.record.reason));
    }
  }
}

void CheckNotRun(const CheckInput& input, PromiseTally& tally) {
  std::set<std::string> begun_calls;
  for (const MinionBegin& begin : input.seen.begins) {
    begun_calls.insert(begin.begin.request_id);
  }
  for (const CallObservation& call : input.seen.calls) {
    if (call.verdict != Verdict::kNotRun) {
      continue;
    }
    if (begun_calls.count(call.request_id) == 0) {
      tally.RecordKept();
    } else {
      tally.RecordBroken(fmt::format("call {} on {} was told \"not run\" and began: {}",
                                     call.request_id, call.node.text(), call.reason));
    }
  }
  std::set<JobId> begun_jobs;
  for (const WorkerStart& start : input.seen.starts) {
    begun_jobs.insert(start.start.job);
  }
  for (const JobObservation& job : input.seen.jobs) {
    const bool told_not_run = job.submit == SubmitResult::kRefused ||
                              (IsFinal(job.record.state) && job.record.verdict == Verdict::kNotRun);
    if (!told_not_run) {
      continue;
    }
    if (begun_jobs.count(job.id) == 0) {
      tally.RecordKept();
    } else {
      tally.RecordBroken(fmt::format("job {} was told \"not run\" and began: {}", job.id.text(),
                                     job.reason + job.record.reason));
    }
  }
}

void CheckAtMostOnce(const CheckInput& input, PromiseTally& tally) {
  std::map<std::string, int> begun_calls;
  for (const MinionBegin& begin : input.seen.begins) {
    ++begun_calls[begin.begin.request_id];
  }
  for (const CallObservation& call : input.seen.calls) {
    if (call.idempotency == Idempotency::kIdempotent) {
      continue;
    }
    const auto begun = begun_calls.find(call.request_id);
    if (begun == begun_calls.end() || begun->second <= 1) {
      tally.RecordKept();
    } else {
      tally.RecordBroken(fmt::format("non-idempotent call {} on {} began {} times", call.request_id,
                                     call.node.text(), begun->second));
    }
  }
  std::map<JobId, std::set<AttemptId>> begun_attempts;
  for (const WorkerStart& start : input.seen.starts) {
    begun_attempts[start.start.job].insert(start.start.attempt);
  }
  for (const JobObservation& job : input.seen.jobs) {
    if (job.spec.idempotency == Idempotency::kIdempotent) {
      continue;
    }
    const auto begun = begun_attempts.find(job.id);
    if (begun == begun_attempts.end() || begun->second.size() <= 1) {
      tally.RecordKept();
    } else {
      tally.RecordBroken(fmt::format("non-idempotent job {} began in {} attempts", job.id.text(),
                                     begun->second.size()));
    }
  }
}

void CheckLeaving(const CheckInput& input, PromiseTally& tally) {
  const std::vector<Beginning> beginnings = BeginningsOf(input.seen);
  for (const RetireWindow& retired : input.seen.retired) {
    std::int64_t late = 0;
    for (const Beginning& beginning : beginnings) {
      if (beginning.target != retired.target || !retired.window.Covers(beginning.at)) {
        continue;
      }
      if (beginning.at > retired.window.from + input.limits.leaving) {
        ++late;
        tally.RecordBroken(fmt::format("{} began on {} {} ms after it began to leave",
                                       beginning.what, beginning.target,
                                       (beginning.at - retired.window.from).count()));
      }
    }
    if (late == 0) {
      tally.RecordKept();
    }
  }
}

void CheckGracefulStops(const CheckInput& input, PromiseTally& tally) {
  constexpr Milliseconds kMaxTimeInFlight{10'000};
  for (const GracefulStop& stop : input.seen.graceful_stops) {
    const TimeWindow concerned{stop.window.from - kMaxTimeInFlight, stop.window.until};
    if (NodeWasDown(input.seen, stop.node, concerned.from, stop.window.from)) {
      continue;
    }
    for (const CallObservation& call : input.seen.calls) {
      if (call.node != stop.node || !concerned.Covers(call.sent_at)) {
        continue;
      }
      if (call.answer == AnswerKind::kNone) {
        tally.RecordBroken(
            fmt::format("call {} on {}, sent {} ms after the stop was asked for, got no "
                        "answer: {}",
                        call.request_id, call.node.text(),
                        (call.sent_at - stop.window.from).count(), call.reason));
      } else {
        tally.RecordKept();
      }
    }
  }
}

void CheckBundleRolls(const CheckInput& input, PromiseTally& tally) {
  for (const BundleRoll& roll : input.seen.rolls) {
    const Milliseconds due = roll.accepted_at + input.limits.bundle_in_force;
    for (const BundleSighting& sighting : input.seen.sightings) {
      // An outage that ended before the bound does not excuse an old bundle.
      const Milliseconds since =
          std::max(roll.accepted_at, sighting.at - input.limits.bundle_in_force);
      const bool excused = NodeWasDown(input.seen, sighting.node, since, sighting.at) ||
                           StoreWasAway(input.seen, since, sighting.at);
      if (sighting.at < due || excused) {
        continue;
      }
      if (sighting.version >= roll.version) {
        tally.RecordKept();
      } else {
        tally.RecordBroken(fmt::format("{} had bundle {} in force {} ms after {} was rolled",
                                       sighting.node.text(), sighting.version.value(),
                                       (sighting.at - roll.accepted_at).count(),
                                       roll.version.value()));
      }
    }
  }
}

void CheckBundles(const CheckInput& input, PromiseTally& tally) {
  CheckBundleRolls(input, tally);
  std::map<std::pair<NodeId, int>, BundleVersion> newest;
  for (const BundleSighting& sighting : input.seen.sightings) {
    BundleVersion& known = newest[{sighting.node, sighting.process}];
    if (sighting.version >= known) {
      tally.RecordKept();
      known = sighting.version;
    } else {
      tally.RecordBroken(fmt::format("{} reverted from bundle {} to {}", sighting.node.text(),
                                     known.value(), sighting.version.value()));
    }
  }
}

}  // namespace

std::vector<PromiseTally> CheckPromises(const Observations& seen, const ZoneOfTarget& zones,
                                        const PromiseLimits& limits) {
  struct Check {
    Promise promise;
    void (*run)(const CheckInput&, PromiseTally&);
  };
  static constexpr std::array<Check, 9> kChecks{{
      {Promise::kGuaranteeReclaimed, CheckGuarantees},
      {Promise::kGangWhole, CheckGangs},
      {Promise::kZoneOutHeld, CheckZones},
      {Promise::kAnswerWholeAndOwn, CheckAnswers},
      {Promise::kNotRunDidNotRun, CheckNotRun},
      {Promise::kAtMostOnce, CheckAtMostOnce},
      {Promise::kLeavingTargetSpared, CheckLeaving},
      {Promise::kStopGraceful, CheckGracefulStops},
      {Promise::kBundleInForce, CheckBundles},
  }};
  const CheckInput input{seen, zones, limits};
  std::vector<PromiseTally> tallies;
  for (const Check& check : kChecks) {
    PromiseTally tally;
    tally.promise = check.promise;
    check.run(input, tally);
    tallies.push_back(std::move(tally));
  }
  return tallies;
}

}  // namespace papayalift
