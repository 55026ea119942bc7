#include "libraries/leader/crash_attribution.h"

#include <algorithm>

namespace papayalift {

namespace {

/// Minions of a zone that vanish within this time may have vanished for one cause: the loss of some
/// is only noticed when their calls time out or their registrations expire.
constexpr Milliseconds kOutageWindow{4'000};
/// By then all minions of an outage have been noticed.
constexpr Milliseconds kMaxJudgementDelay = kOutageWindow + Milliseconds(500);
constexpr Milliseconds kCrashRetention = 2 * kMaxJudgementDelay;
/// Other minions that must have vanished for a loss to count as an outage.
constexpr int kMinOthersInOutage = 2;
constexpr int kMaxCrashesOfOneJob = 2;
constexpr int kMaxCrashes = 3;

/// When the minion was lost, if it did not announce that it would leave.
std::optional<Milliseconds> VanishedAt(const TrackedMinion& minion) {
  if (minion.is_draining) {
    return std::nullopt;
  }
  return minion.silence.has_value() ? std::optional<Milliseconds>(minion.silence->since)
                                    : minion.vanished_at;
}

/// Whether the minion may have crashed at the run's start; this is not known of a run that a
/// previous leader started.
bool MayHaveCrashedIt(const TrackedRun& run, const std::optional<MinionSilence>& silence) {
  const bool outlived_start = run.orders_sent > 0 && silence.has_value() &&
                              silence->since - run.ordered_at >= kStartProbation;
  return !run.has_outlived_start && !outlived_start;
}

/// Whether the process that the run was placed on has certainly ended. A minion that only does not
/// answer may be cut off.
bool IsProcessGone(const TrackedMinion& minion, const TrackedRun& run,
                   const std::optional<MinionSilence>& silence) {
  const bool has_answered = minion.incarnation.value() != 0;
  if (!minion.entry.has_value() && !has_answered) {
    // It was not registered any more when this leader began.
    return true;
  }
  return (has_answered && minion.incarnation != run.incarnation) ||
         (minion.entry.has_value() && minion.entry->incarnation != run.incarnation) ||
         (silence.has_value() && (silence->was_refused || silence->was_replaced));
}

/// Whether the minion had already started anew at the time.
bool WasBack(const TrackedMinion& minion, Milliseconds at) {
  return !minion.silence.has_value() && minion.vanished_at.has_value() &&
         minion.registered_at > *minion.vanished_at && minion.registered_at < at;
}

bool IsNear(Milliseconds left, Milliseconds right) {
  return std::max(left, right) - std::min(left, right) <= kOutageWindow;
}

}  // namespace

bool IsCrashLooping(const TaskProgress& task) {
  return task.crashes_of_one_job >= kMaxCrashesOfOneJob || task.crashes >= kMaxCrashes;
}

bool CrashAttribution::RecordLoss(const TrackedMinion& minion, const TrackedRun& run,
                                  Milliseconds now) {
  const std::optional<MinionSilence>& silence =
      minion.silence.has_value() ? minion.silence : minion.previous_silence;
  if (minion.is_draining || !IsProcessGone(minion, run, silence) ||
      !MayHaveCrashedIt(run, silence)) {
    return false;
  }
  Crash& crash = FindOrAdd(minion, run, now);
  crash.was_host_up = crash.was_host_up || (silence.has_value() && silence->was_refused);
  crash.suspects.push_back(
      Suspect{run.task, run.attempt, run.orders_sent > 0, run.answered_at.has_value()});
  return true;
}

CrashAttribution::Crash& CrashAttribution::FindOrAdd(const TrackedMinion& minion,
                                                     const TrackedRun& run, Milliseconds now) {
  for (Crash& crash : m_crashes) {
    if (crash.minion == minion.id && crash.incarnation == run.incarnation) {
      return crash;
    }
  }
  Crash crash;
  crash.minion = minion.id;
  crash.incarnation = run.incarnation;
  crash.zone = minion.zone;
  crash.at = VanishedAt(minion).value_or(now);
  m_crashes.push_back(crash);
  return m_crashes.back();
}

std::vector<JudgedRun> CrashAttribution::TakeJudged(const LeaderState& state, Milliseconds now) {
  std::vector<JudgedRun> judged;
  for (Crash& crash : m_crashes) {
    if (crash.judged_suspects == crash.suspects.size()) {
      continue;
    }
    const ZoneHealth health = HealthAround(state, crash);
    const bool is_complete = health.unknown == 0 && !HasUnresolvedRuns(state, crash);
    if (is_complete || now - crash.at >= kMaxJudgementDelay) {
      AppendSuspects(crash, IsOutage(crash, health), judged);
      crash.judged_suspects = crash.suspects.size();
    }
  }
  std::erase_if(m_crashes, [now](const Crash& crash) {
    return crash.judged_suspects == crash.suspects.size() && now - crash.at > kCrashRetention;
  });
  return judged;
}

bool CrashAttribution::HasUnresolvedRuns(const LeaderState& state, const Crash& crash) {
  const auto minion = state.minions.find(crash.minion);
  return minion != state.minions.end() &&
         std::any_of(minion->second.runs.begin(), minion->second.runs.end(),
                     [&crash](const auto& entry) {
                       return entry.second.incarnation == crash.incarnation &&
                              !entry.second.has_outlived_start;
                     });
}

void CrashAttribution::AppendSuspects(const Crash& crash, bool is_outage,
                                      std::vector<JudgedRun>& judged) {
  const JobId& first = crash.suspects.front().task.job;
  const bool is_one_job =
      std::all_of(crash.suspects.begin(), crash.suspects.end(),
                  [&first](const Suspect& suspect) { return suspect.task.job == first; });
  for (std::size_t index = crash.judged_suspects; index < crash.suspects.size(); ++index) {
    const Suspect& suspect = crash.suspects[index];
    const CrashCause cause = is_outage                            ? CrashCause::kOutage
                             : is_one_job && suspect.is_confirmed ? CrashCause::kOneJob
                                                                  : CrashCause::kUncertain;
    judged.push_back(JudgedRun{suspect.task, suspect.attempt, crash.minion, cause});
  }
}

const CrashAttribution::Crash* CrashAttribution::FindNear(const MinionId& minion,
                                                          Milliseconds at) const {
  const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash& crash) {
    return crash.minion == minion && IsNear(crash.at, at);
  });
  return found == m_crashes.end() ? nullptr : &*found;
}

bool CrashAttribution::IsExplainedByStart(const TrackedMinion& minion, const Crash& crash) const {
  const Crash* const other = FindNear(minion.id, *VanishedAt(minion));
  if (other != nullptr) {
    // Hosts that were both without power were not brought down by a task.
    return (crash.was_host_up || other->was_host_up) &&
           std::any_of(other->suspects.begin(), other->suspects.end(),
                       [](const Suspect& suspect) { return suspect.is_start_known; });
  }
  // The minion's runs may not have been given up yet.
  return minion.silence.has_value() && minion.silence->was_refused &&
         std::any_of(minion.runs.begin(), minion.runs.end(), [](const auto& entry) {
           return entry.second.orders_sent > 0 && !entry.second.has_outlived_start;
         });
}

CrashAttribution::ZoneHealth CrashAttribution::HealthAround(const LeaderState& state,
                                                            const Crash& crash) const {
  ZoneHealth health;
  for (const auto& [id, minion] : state.minions) {
    // A minion that registered later may have replaced one that vanished.
    if (id == crash.minion || minion.zone != crash.zone || minion.registered_at > crash.at) {
      continue;
    }
    const std::optional<Milliseconds> vanished_at = VanishedAt(minion);
    if (vanished_at.has_value() && IsNear(*vanished_at, crash.at) && !WasBack(minion, crash.at)) {
      health.vanished += IsExplainedByStart(minion, crash) ? 0 : 1;
    } else if (std::max(minion.entry_heard_at, minion.last_report_at) > crash.at) {
      ++health.sound;
    } else if (minion.entry.has_value() && !minion.is_draining) {
      ++health.unknown;
    }
  }
  return health;
}

bool CrashAttribution::IsOutage(const Crash& crash, const ZoneHealth& health) {
  return health.vanished >= kMinOthersInOutage &&
         (!crash.was_host_up || health.vanished >= health.sound);
}

}  // namespace papayalift
