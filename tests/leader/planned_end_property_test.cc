// Plays planned ends of minions, alone and several at once, under their ids and addresses or
// without a successor, with late entries and ends of leaders; and tasks that crash their minions
// beside them.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

#include "leader/crash_scenario.h"
#include "leader/loaded_fleet.h"

namespace papayalift {

namespace {

constexpr int kFleet = 16;
/// Minions that may leave without a successor, so that the jobs still fit.
constexpr int kMaxGone = 6;
/// Longer than the platform's bound within which no more work is sent to a minion that drains.
constexpr int kShortestNoticeMs = 2'000;
constexpr int kLongestNoticeMs = 7'000;
constexpr Milliseconds kMaxSilence{3'000};
/// From the announcement until a leader has certainly stored it.
constexpr Milliseconds kTimeToStore{500};

/// What tells a later leader of a drain.
enum class Telling {
  kAny,
  /// A leader has stored it, and the store forgets its history.
  kStoreAlone,
  /// Nobody leads from the drain until the minion has left.
  kHistoryAlone,
};

struct PlannedScenario : LeaseScenario {
  PlannedScenario() : LeaseScenario(kFleet) {}

  /// The newest minions of all machines; those with runs of the first jobs come first.
  std::vector<MinionId> Candidates() const {
    std::vector<MinionId> minions;
    for (int number = 0; number < kFleet; ++number) {
      const MinionId id = cluster.minions.NewestOn(MinionId("m" + std::to_string(number)));
      if (cluster.minions.IsUp(id)) {
        minions.push_back(id);
      }
    }
    std::stable_partition(minions.begin(), minions.end(), [this](const MinionId& id) {
      return !cluster.minions.TasksOn(id).empty();
    });
    return minions;
  }

  /// A planned end of one of the minions, mostly of one with runs.
  void DrainAny() {
    const std::vector<MinionId> candidates = Candidates();
    if (candidates.empty()) {
      return;
    }
    const std::size_t choice = static_cast<std::size_t>(AnyFrom(0, 4));
    const MinionId& id = candidates[choice % candidates.size()];
    MinionOutage outage;
    outage.duration = AnyTime(200, 4'000);
    outage.comes_back =
        *rc::gen::element(MinionReturn::kSameId, MinionReturn::kNewId, MinionReturn::kNever);
    outage.kind = *rc::gen::element(OutageKind::kRefused, OutageKind::kSilent);
    if (outage.comes_back == MinionReturn::kNever && ++m_gone > kMaxGone) {
      outage.comes_back = MinionReturn::kNewId;
    }
    if (AnyFrom(0, 3) == 0) {
      // From before the drain, carried out at any time after it.
      cluster.minions.RepeatEntryLater(id, AnyTime(1, kLongestNoticeMs));
    }
    cluster.minions.Drain(id, AnyTime(kShortestNoticeMs, kLongestNoticeMs), outage);
    if (AnyFrom(0, 3) == 0) {
      // The announcement itself, also after the next process is registered.
      cluster.minions.RepeatEntryLater(id, AnyTime(1, 2 * kLongestNoticeMs));
    }
  }

  /// Advances the time until a node leads, at most for 20 s.
  void RunUntilLed() {
    constexpr Milliseconds kStep{20};
    for (Milliseconds waited{0}; waited < Milliseconds(20'000) && !LeaderIndex().has_value();
         waited += kStep) {
      cluster.Run(kStep);
    }
  }

  void EndLeaderAtAnyTime() {
    const LeaderEnd end = static_cast<LeaderEnd>(AnyFrom(0, kLeaderEnds));
    const Milliseconds time = AnyTime(1'000, static_cast<int>(kMaxSilence.count()));
    cluster.timers.After(AnyTime(0, kLongestNoticeMs), [this, end, time] { EndLeader(end, time); });
  }

 private:
  int m_gone = 0;
};

/// A job that runs on any minion, so that its minions can be chosen to leave.
RegisteredJob AnyJob() {
  RegisteredJob job = MakeLongJob(
      AnyFrom(0, 2) == 0 ? WorkStepKind::kGang : WorkStepKind::kIndependentTasks, AnyFrom(1, 4));
  job.duration = AnyTime(4'000, 25'000);
  job.work.steps[0].estimate = job.duration;
  return job;
}

}  // namespace

Test(planned_end, any_sequence_of_drains_and_changes_of_leader_fails_no_job) {
  const bool held = rc::check("drains, restarts, replacements, ends of leaders", [] {
    PlannedScenario scenario;
    for (int jobs = AnyFrom(1, 4); jobs > 0; --jobs) {
      scenario.Submit(AnyJob());
    }
    scenario.cluster.Run(AnyTime(500, 4'000));
    for (int rounds = AnyFrom(3, 12); rounds > 0; --rounds) {
      for (int drains = AnyFrom(1, 4); drains > 0; --drains) {
        scenario.DrainAny();
      }
      for (int ends = AnyFrom(0, 3); ends > 0; --ends) {
        scenario.EndLeaderAtAnyTime();
      }
      scenario.Run(AnyTime(500, 8'000));
    }
    scenario.Settle();
    scenario.Check();
  });
  cr_assert(held);
}

// A rolling restart at a steady pace: each run is lost at about the same point of its work.
Test(planned_end, any_steady_series_of_drains_under_a_task_fails_no_job) {
  const bool held = rc::check("the minion of a task drains each time after the same time", [] {
    PlannedScenario scenario;
    RegisteredJob job = MakeLongJob(
        AnyFrom(0, 2) == 0 ? WorkStepKind::kGang : WorkStepKind::kIndependentTasks, AnyFrom(1, 3));
    const JobId id = *scenario.Submit(job);
    const Milliseconds notice = AnyTime(kShortestNoticeMs, 4'000);
    const Milliseconds until_drain = AnyTime(0, 3'000);
    MinionOutage outage;
    outage.duration = AnyTime(200, 2'000);
    outage.comes_back = *rc::gen::element(MinionReturn::kSameId, MinionReturn::kNewId);
    const Telling telling =
        *rc::gen::element(Telling::kAny, Telling::kStoreAlone, Telling::kHistoryAlone);
    const bool ends_leaders = AnyFrom(0, 2) == 0;
    const bool has_late_heartbeats = AnyFrom(0, 2) == 0;
    for (int rounds = AnyFrom(3, 9); rounds > 0; --rounds) {
      for (int waited = 0; waited < 1'000 && scenario.cluster.minions.RunningOn(id).empty();
           ++waited) {
        scenario.cluster.Run(Milliseconds(20));
      }
      scenario.cluster.Run(until_drain);
      scenario.RunUntilLed();
      const std::vector<MinionId> holders = scenario.cluster.minions.RunningOn(id);
      if (!holders.empty() && has_late_heartbeats) {
        scenario.cluster.minions.RepeatEntryLater(holders.front(), notice - AnyTime(1, 900));
      }
      if (telling == Telling::kHistoryAlone) {
        scenario.EndLeader(LeaderEnd::kAllNodesKilled, notice + AnyTime(100, 1'500));
      }
      if (!holders.empty()) {
        scenario.cluster.minions.Drain(holders.front(), notice, outage);
      }
      scenario.cluster.Run(kTimeToStore);
      if (telling == Telling::kStoreAlone) {
        scenario.EndLeader(*rc::gen::element(LeaderEnd::kKilled, LeaderEnd::kResigned),
                           kMaxSilence);
      } else if (telling == Telling::kAny && ends_leaders) {
        scenario.EndLeaderAtAnyTime();
      }
      scenario.cluster.Run(notice - kTimeToStore);
      if (telling == Telling::kStoreAlone) {
        scenario.cluster.store.CompactHistory();
      }
      scenario.cluster.Run(Milliseconds(1));
    }
    scenario.Settle();
    scenario.Check();
  });
  cr_assert(held);
}

// The other way: a task that crashes its minions is given up as early beside planned restarts.
Test(planned_end, any_drains_beside_a_deadly_task_delay_its_end_by_no_start) {
  const bool held = rc::check("planned restarts beside a task that crashes its minions", [] {
    CrashScenario scenario(kFleet);
    RegisteredJob job = MakeDeadlyJob();
    job.crash_delay = AnyTime(1, 600);
    const JobId id = scenario.SubmitDeadly(job);
    const bool ends_leaders = AnyFrom(0, 2) == 0;
    for (int rounds = AnyFrom(4, 12); rounds > 0; --rounds) {
      for (int drains = AnyFrom(1, 4); drains > 0; --drains) {
        MinionOutage outage;
        outage.duration = AnyTime(200, 3'000);
        outage.comes_back = *rc::gen::element(MinionReturn::kSameId, MinionReturn::kNewId);
        const MinionId minion =
            scenario.cluster.minions.NewestOn(MinionId("m" + std::to_string(AnyFrom(0, kFleet))));
        scenario.cluster.minions.Drain(minion, AnyTime(kShortestNoticeMs, kLongestNoticeMs),
                                       outage);
      }
      if (ends_leaders) {
        scenario.cluster.timers.After(AnyTime(0, 4'000), [&scenario] { scenario.KillLeader(); });
      }
      scenario.Run(AnyTime(500, 6'000));
    }
    scenario.Run(kMaxTimeToGiveUp);
    RC_ASSERT(scenario.StateOf(id) == WorkState::kFailed);
    RC_ASSERT(scenario.cluster.minions.RecordOf(TaskName{id, 0, 0, 0}).starts <=
              kMaxStartsOfDeadlyTask);
  });
  cr_assert(held);
}

}  // namespace papayalift
