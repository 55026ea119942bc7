/// Decides which tasks have crashed the minions that started them. Load that it answers: a task
/// whose start ends the minion's process each time would otherwise take one minion after another
/// down, together with the work beside it.
#pragma once

#include <vector>

#include "libraries/leader/leader_state.h"

namespace papayalift {

/// What a minion's process is taken to have ended of.
enum class CrashCause {
  /// Only tasks of one job had just started there.
  kOneJob,
  /// Tasks of several jobs had just started there; any of them may be the cause.
  kSeveralJobs,
  /// Other minions of the zone were lost at the same time.
  kOutage,
};

/// The judgement of one run that was lost when its minion's process ended right after its start.
struct JudgedRun {
  TaskName task;
  AttemptNumber attempt;
  MinionId minion;
  CrashCause cause = CrashCause::kOneJob;
};

class CrashAttribution {
 public:
  /// To be called with every run that is lost. Returns whether the run is a suspect, which will be
  /// judged: its minion's process has ended, and the run had not outlived its start.
  bool RecordLoss(const TrackedMinion& minion, const TrackedRun& run, Milliseconds now);

  /// The suspects that can be judged by now, each once.
  std::vector<JudgedRun> TakeJudged(const LeaderState& state, Milliseconds now);

 private:
  struct Suspect {
    TaskName task;
    AttemptNumber attempt;
    /// This leader sent the start and so knows its time.
    bool is_start_known = false;
  };

  /// The end of one incarnation of a minion.
  struct Crash {
    MinionId minion;
    MinionIncarnation incarnation;
    ZoneId zone;
    Milliseconds at{0};
    /// The minion's host refused connections while its process was gone; a host without power would
    /// not have answered.
    bool was_host_up = false;
    std::vector<Suspect> suspects;
    /// Number of the first suspects that are judged. Others may be recorded after that.
    std::size_t judged_suspects = 0;
  };

  /// How the other minions of the zone fared when one crashed.
  struct ZoneHealth {
    /// Lost at about the same time for no cause of their own.
    int vanished = 0;
    /// Heard from since.
    int sound = 0;
    /// Neither lost nor heard from since.
    int unknown = 0;
  };

  Crash& FindOrAdd(const TrackedMinion& minion, const TrackedRun& run, Milliseconds now);
  const Crash* FindNear(const MinionId& minion, Milliseconds at) const;
  /// Whether a vanished minion has, or may have, crashed because of a start on it.
  bool IsExplainedByStart(const TrackedMinion& minion, const Crash& crash) const;
  ZoneHealth HealthAround(const LeaderState& state, const Crash& crash) const;
  /// Whether runs of the crashed process are still tracked, and may become suspects.
  static bool HasUnresolvedRuns(const LeaderState& state, const Crash& crash);
  static bool IsOutage(const Crash& crash, const ZoneHealth& health);
  static void AppendSuspects(const Crash& crash, bool is_outage, std::vector<JudgedRun>& judged);

  std::vector<Crash> m_crashes;
};

/// Whether a task with these crashes is to be given up: twice no other job's task can have been the
/// cause, or it was among the suspects too often.
bool IsCrashLooping(const TaskProgress& task);

}  // namespace papayalift
