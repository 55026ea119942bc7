#include <criterion/criterion.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "leader/test_cluster.h"

namespace papayalift {

namespace {

constexpr Resources kWholeRoom{8'000, 8'000, 8};
constexpr Resources kHalfRoom{4'000, 4'000, 4};
constexpr Resources kNoRoom{0, 0, 0};
constexpr Milliseconds kHeartbeatInterval{1'500};
/// Longer than a room that has shrunk still counts.
constexpr Milliseconds kAfterShrink{5'000};
constexpr Milliseconds kLong{120'000};

RegisteredJob MakeTasks(int count, std::int64_t accelerators, Milliseconds duration = kLong) {
  RegisteredJob job;
  job.work.steps = {MakeStep(count, accelerators)};
  job.duration = duration;
  return job;
}

RegisteredJob MakeGang(int count, std::int64_t accelerators, Milliseconds duration = kLong) {
  RegisteredJob job = MakeTasks(count, accelerators, duration);
  job.work.steps[0].kind = WorkStepKind::kGang;
  return job;
}

MinionId Minion(int number) { return MinionId(fmt::format("m{}", number)); }

/// A cluster with the product's settings, whose minions write their heartbeats in turn.
class ShrinkingCluster : public TestCluster {
 public:
  ShrinkingCluster(int nodes, int minion_count)
      : TestCluster(nodes, minion_count, Settings()), m_minion_count(minion_count) {
    RunInTurn(kHeartbeatInterval * 2);
  }

  /// Advances the time while each minion writes a heartbeat at its own moment of each interval.
  void RunInTurn(Milliseconds time) {
    const Milliseconds end = timers.clock().Now() + time;
    const Milliseconds pause = kHeartbeatInterval / m_minion_count;
    while (timers.clock().Now() < end) {
      if (timers.clock().Now() >= m_next_heartbeat) {
        minions.SendHeartbeat(Minion(m_next_minion));
        m_next_minion = (m_next_minion + 1) % m_minion_count;
        m_next_heartbeat = timers.clock().Now() + pause;
        minions.RemoveSilentEntries();
      }
      Run(std::min(end, m_next_heartbeat) - timers.clock().Now());
    }
  }

  void SetRoom(int number, const Resources& room, Publication publication = Publication::kAtOnce) {
    minions.SetCapacity(Minion(number), room, publication);
  }
  void SetAllRooms(const Resources& room) {
    for (int number = 0; number < m_minion_count; ++number) {
      SetRoom(number, room);
    }
  }
  void FailCommits(StoreFault fault, std::size_t times) {
    leader()->store().FailNextCommits(std::deque<StoreFault>(times, fault));
  }
  /// Submits the job while there is no room, and lets the leader decide on its placement while the
  /// next commits fail.
  void DecideWhileCommitsFail(const RegisteredJob& job, StoreFault fault, std::size_t times) {
    SetAllRooms(kNoRoom);
    RunInTurn(kAfterShrink);
    Submit(MakeJobId(1), job);
    RunInTurn(Milliseconds(300));
    cr_assert_eq(minions.starts(), 0);
    FailCommits(fault, times);
    SetAllRooms(kWholeRoom);
    RunInTurn(Milliseconds(200));
  }
  /// The last of three minions, alone in its rack, loses its room while it is cut off from the
  /// store and the leader's watches are silent.
  void ShrinkUnseen() {
    minions.SetCutOffFromStore(Minion(2), true);
    SetRoom(2, kNoRoom);
    node(0).store().SetWatchesSilent(true);
  }
  void EndShrink() {
    minions.SetCutOffFromStore(Minion(2), false);
    SetRoom(2, kWholeRoom);
    node(0).store().SetWatchesSilent(false);
  }
  /// Submits job 1, whose short tasks only that minion may run, for twice as long as a room that
  /// has shrunk counts.
  void SubmitShortTasks() {
    RegisteredJob job = MakeTasks(120, 2, Milliseconds(300));
    job.work.steps[0].required_label = "r1";
    Submit(MakeJobId(1), job);
  }
  std::size_t running(int job) { return minions.RunningOn(MakeJobId(job)).size(); }

 private:
  static LeaderSettings Settings() {
    LeaderSettings settings;
    settings.registration_freshness = Milliseconds(1'500);
    settings.max_heartbeat_age = kHeartbeatInterval + kHeartbeatInterval / 2;
    return settings;
  }

  const int m_minion_count;
  int m_next_minion = 0;
  Milliseconds m_next_heartbeat{0};
};

void AssertNoViolations(const TestCluster& cluster) {
  for (const std::string& violation : cluster.minions.violations()) {
    cr_expect(false, "%s", violation.c_str());
  }
}

enum class Action {
  kSubmitTasks,
  kSubmitGang,
  kSubmitGuaranteed,
  kShrinkAtOnce,
  kShrinkWithHeartbeat,
  kGrow,
  kCutOffFromStore,
  kReconnectToStore,
  kSilenceWatches,
  kReportWatches,
  kForgetHistory,
  kLoseCommits,
  kRefuseCommits,
  kLoseOrders,
  kDelayOrders,
  kKillLeader,
  kRestartMinion,
  kRunBriefly,
  kRunLonger,
};
constexpr int kActionKinds = static_cast<int>(Action::kRunLonger) + 1;

/// Drives a cluster by numbers, each of which encodes an action and its parameter.
class ShrinkingScenario {
 public:
  void Apply(int number) {
    m_parameter = number / kActionKinds;
    switch (static_cast<Action>(number % kActionKinds)) {
      case Action::kSubmitTasks:
        Submit(MakeTasks(1 + m_parameter % 12, 1 + m_parameter % 4), Priority(2));
        break;
      case Action::kSubmitGang:
        Submit(MakeGang(1 + m_parameter % kMinions, 1 + m_parameter % 8), Priority(1));
        break;
      case Action::kSubmitGuaranteed:
        Submit(MakeGang(1 + m_parameter % 2, 1 + m_parameter % 8), Priority(0));
        break;
      case Action::kShrinkAtOnce:
        m_cluster.SetRoom(Chosen(), ChosenRoom());
        break;
      case Action::kShrinkWithHeartbeat:
        m_cluster.SetRoom(Chosen(), ChosenRoom(), Publication::kWithNextHeartbeat);
        break;
      case Action::kGrow:
        m_cluster.SetRoom(Chosen(), kWholeRoom);
        break;
      case Action::kCutOffFromStore:
        m_cluster.minions.SetCutOffFromStore(Minion(Chosen()), true);
        break;
      case Action::kReconnectToStore:
        m_cluster.minions.SetCutOffFromStore(Minion(Chosen()), false);
        break;
      case Action::kSilenceWatches:
        SetWatchesSilent(true);
        break;
      case Action::kReportWatches:
        SetWatchesSilent(false);
        break;
      case Action::kForgetHistory:
        m_cluster.store.CompactHistory();
        break;
      case Action::kLoseCommits:
        FailCommits(StoreFault::kAnswerLost, 1 + m_parameter % 6);
        break;
      case Action::kRefuseCommits:
        FailCommits(StoreFault::kRefused, 1 + m_parameter % 40);
        break;
      case Action::kLoseOrders:
        m_cluster.minions.FailNextOrders(
            Minion(Chosen()), {OrderFault::kLost, OrderFault::kLost, OrderFault::kAnswerLost});
        break;
      case Action::kDelayOrders:
        m_cluster.minions.FailNextOrders(Minion(Chosen()), {OrderFault::kLate, OrderFault::kLate});
        break;
      case Action::kKillLeader:
        KillLeader();
        break;
      case Action::kRestartMinion:
        m_cluster.minions.Restart(Minion(Chosen()));
        break;
      case Action::kRunBriefly:
        m_cluster.RunInTurn(Milliseconds(1 + m_parameter % 40));
        break;
      case Action::kRunLonger:
        m_cluster.RunInTurn(Milliseconds(100 + m_parameter * 5));
        break;
    }
  }

  /// Ends all faults, restores all rooms and advances the time until every job must have ended.
  void Settle() {
    SetWatchesSilent(false);
    FailCommits(StoreFault::kNone, 0);
    for (int number = 0; number < kMinions; ++number) {
      m_cluster.minions.SetCutOffFromStore(Minion(number), false);
      m_cluster.minions.FailNextOrders(Minion(number), {});
      m_cluster.SetRoom(number, kWholeRoom);
    }
    m_cluster.RunInTurn(Milliseconds(60'000));
  }

  void Check() {
    for (const std::string& violation : m_cluster.minions.violations()) {
      RC_FAIL(violation);
    }
    for (const JobId& job : m_accepted) {
      const WorkState state = m_cluster.StateOf(job);
      const bool may_fail = m_cluster.minions.HasLostTaskOnTwoMachines(job);
      if (state != WorkState::kDone && !(state == WorkState::kFailed && may_fail)) {
        RC_FAIL("job " + job.text() + " is left in state " +
                std::to_string(static_cast<int>(state)));
      }
    }
  }

 private:
  static constexpr int kMinions = 4;
  static constexpr int kMaxJobs = 10;

  int Chosen() const { return m_parameter % kMinions; }
  Resources ChosenRoom() const { return Resources{1'000, 1'000, 1} * (m_parameter / kMinions % 8); }

  void Submit(RegisteredJob job, Priority priority) {
    if (m_jobs >= kMaxJobs) {
      return;
    }
    job.duration = Milliseconds(200 + (m_parameter % 5) * 1'000);
    const JobId id = MakeJobId(++m_jobs);
    if (m_cluster.Submit(id, job, priority).kind == JobReplyKind::kAccepted) {
      m_accepted.push_back(id);
    }
  }

  void SetWatchesSilent(bool are_silent) {
    for (std::size_t index = 0; index < m_cluster.size(); ++index) {
      m_cluster.node(index).store().SetWatchesSilent(are_silent);
    }
  }

  void FailCommits(StoreFault fault, int times) {
    if (ClusterNode* const leader = m_cluster.leader(); leader != nullptr) {
      leader->store().FailNextCommits(
          std::deque<StoreFault>(static_cast<std::size_t>(times), fault));
    }
  }

  void KillLeader() {
    if (m_cluster.leader() != nullptr) {
      const std::size_t index = m_cluster.leader_index();
      m_cluster.Kill(index);
      m_cluster.Restart(index);
    }
  }

  ShrinkingCluster m_cluster{2, kMinions};
  int m_parameter = 0;
  int m_jobs = 0;
  std::vector<JobId> m_accepted;
};

/// Number of failed commits after which a decided placement is older than a shrunken room counts.
constexpr std::size_t kRefusals = 40;
constexpr std::size_t kLostAnswers = 6;
constexpr Milliseconds kFailingTime{8'000};

}  // namespace

Test(shrinking_capacity, room_shrunk_before_the_plan_gets_only_what_fits) {
  for (const Publication publication : {Publication::kAtOnce, Publication::kWithNextHeartbeat}) {
    ShrinkingCluster cluster(1, 1);
    cluster.SetRoom(0, kHalfRoom, publication);
    cluster.RunInTurn(kAfterShrink);
    cluster.Submit(MakeJobId(1), MakeTasks(8, 1));
    cluster.RunInTurn(Milliseconds(3'000));
    AssertNoViolations(cluster);
    cr_assert_eq(cluster.running(1), 4);
  }
}

Test(shrinking_capacity, room_shrunk_while_the_write_is_refused_gets_only_what_fits) {
  ShrinkingCluster cluster(1, 1);
  cluster.DecideWhileCommitsFail(MakeTasks(8, 1), StoreFault::kRefused, kRefusals);
  cluster.SetRoom(0, kHalfRoom);
  cluster.RunInTurn(kFailingTime);
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 4);
}

Test(shrinking_capacity, room_shrunk_while_answers_of_the_write_are_lost_gets_only_what_fits) {
  ShrinkingCluster cluster(1, 1);
  cluster.DecideWhileCommitsFail(MakeTasks(8, 1), StoreFault::kAnswerLost, kLostAnswers);
  cluster.SetRoom(0, kHalfRoom);
  cluster.RunInTurn(kFailingTime);
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 4);
}

Test(shrinking_capacity, start_is_not_repeated_once_the_room_is_known_to_have_shrunk) {
  ShrinkingCluster cluster(1, 1);
  cluster.minions.FailNextOrders(Minion(0), {OrderFault::kLost});
  cluster.Submit(MakeJobId(1), MakeTasks(1, 8));
  cluster.RunInTurn(Milliseconds(100));
  cr_assert_eq(cluster.node(0).minions().starts(), 1);
  cluster.SetRoom(0, kHalfRoom);
  cluster.RunInTurn(Milliseconds(4'000));
  cr_assert_eq(cluster.node(0).minions().starts(), 1);
  cluster.SetRoom(0, kWholeRoom);
  cluster.RunInTurn(Milliseconds(1'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 1);
}

Test(shrinking_capacity, gang_larger_than_a_write_starts_on_no_room_that_shrank_unseen) {
  constexpr int kMinions = 40;
  ShrinkingCluster cluster(1, kMinions);
  cluster.Run(Milliseconds(200));
  cluster.node(0).store().SetWatchesSilent(true);
  // The last in the order of ids, which a write compares last, is the only one with news.
  cluster.SetRoom(9, kHalfRoom);
  cluster.Run(kAfterShrink);
  cluster.Submit(MakeJobId(1), MakeGang(kMinions, 8));
  cluster.Run(Milliseconds(4'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.minions.starts(), 0);
}

Test(shrinking_capacity, gang_larger_than_a_write_starts_where_it_fits_while_watches_are_silent) {
  constexpr int kMinions = 40;
  ShrinkingCluster cluster(1, kMinions);
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.RunInTurn(Milliseconds(1'000));
  cluster.SetAllRooms(kHalfRoom);
  cluster.RunInTurn(kAfterShrink);
  cluster.Submit(MakeJobId(1), MakeGang(kMinions, 4));
  cluster.RunInTurn(Milliseconds(4'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), kMinions);
}

Test(shrinking_capacity, room_that_shrank_while_watches_were_silent_gets_only_what_fits) {
  ShrinkingCluster cluster(1, 2);
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.RunInTurn(Milliseconds(1'000));
  cluster.SetAllRooms(kHalfRoom);
  cluster.RunInTurn(kAfterShrink);
  cluster.Submit(MakeJobId(1), MakeTasks(16, 1));
  cluster.RunInTurn(Milliseconds(4'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 8);
}

Test(shrinking_capacity, room_that_shrank_before_the_history_was_forgotten_gets_only_what_fits) {
  ShrinkingCluster cluster(1, 2);
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.RunInTurn(Milliseconds(1'000));
  cluster.SetAllRooms(kHalfRoom);
  cluster.store.CompactHistory();
  cluster.RunInTurn(kAfterShrink);
  cluster.node(0).store().SetWatchesSilent(false);
  cluster.Submit(MakeJobId(1), MakeTasks(16, 1));
  cluster.RunInTurn(Milliseconds(4'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 8);
}

Test(shrinking_capacity, room_that_shrank_under_a_change_of_leader_gets_only_what_fits) {
  ShrinkingCluster cluster(2, 1);
  cluster.DecideWhileCommitsFail(MakeTasks(8, 1), StoreFault::kAnswerLost, 1);
  cluster.SetRoom(0, kHalfRoom);
  cluster.Kill(cluster.leader_index());
  cluster.RunInTurn(Milliseconds(15'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 4);
}

Test(shrinking_capacity, room_that_shrinks_while_cut_off_from_the_store_gets_only_what_counts) {
  for (int delay = 500; delay <= 7'000; delay += 250) {
    ShrinkingCluster cluster(1, 4);
    cluster.minions.SetCutOffFromStore(Minion(1), true);
    cluster.SetRoom(1, kNoRoom);
    cluster.RunInTurn(Milliseconds(delay));
    cluster.minions.FailNextOrders(Minion(1), {OrderFault::kLost, OrderFault::kLost});
    cluster.Submit(MakeJobId(1), MakeTasks(4, 8));
    cluster.RunInTurn(Milliseconds(4'000));
    AssertNoViolations(cluster);
    cr_assert_geq(cluster.running(1), 3);
  }
}

// Writes that found the entry unchanged stood in for heartbeats that nobody listened to.
Test(shrinking_capacity, room_that_shrinks_cut_off_while_watches_are_silent_gets_only_what_counts) {
  for (int delay = 0; delay < kHeartbeatInterval.count(); delay += 125) {
    ShrinkingCluster cluster(1, 3);
    cluster.RunInTurn(Milliseconds(delay));
    cluster.SubmitShortTasks();
    cluster.ShrinkUnseen();
    cluster.RunInTurn(kFailingTime);
    cluster.EndShrink();
    cluster.RunInTurn(Milliseconds(15'000));
    AssertNoViolations(cluster);
    cr_assert_eq(cluster.StateOf(MakeJobId(1)), WorkState::kDone);
  }
}

Test(shrinking_capacity, run_on_a_room_that_shrinks_below_it_goes_on) {
  ShrinkingCluster cluster(1, 1);
  cluster.Submit(MakeJobId(1), MakeTasks(1, 8));
  cluster.RunInTurn(Milliseconds(500));
  cluster.SetRoom(0, kHalfRoom);
  cluster.Submit(MakeJobId(2), MakeTasks(4, 1));
  cluster.RunInTurn(kAfterShrink);
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 1);
  cr_assert_eq(cluster.running(2), 0);
}

Test(shrinking_capacity, gang_starts_beside_a_room_that_shrank_below_what_runs_there) {
  ShrinkingCluster cluster(1, 4);
  cluster.Submit(MakeJobId(1), MakeTasks(1, 8));
  cluster.RunInTurn(Milliseconds(500));
  const MinionId full = cluster.minions.RunningOn(MakeJobId(1)).at(0);
  cluster.minions.SetCapacity(full, kNoRoom, Publication::kAtOnce);
  cluster.RunInTurn(kAfterShrink);
  cluster.Submit(MakeJobId(2), MakeGang(3, 8));
  cluster.RunInTurn(Milliseconds(2'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 1);
  cr_assert_eq(cluster.running(2), 3);
}

Test(shrinking_capacity, room_that_grows_again_is_used_soon) {
  ShrinkingCluster cluster(1, 2);
  cluster.SetAllRooms(kNoRoom);
  cluster.RunInTurn(kAfterShrink);
  cluster.Submit(MakeJobId(1), MakeTasks(2, 8));
  cluster.RunInTurn(Milliseconds(2'000));
  cr_assert_eq(cluster.running(1), 0);
  cluster.SetRoom(0, kWholeRoom);
  cluster.RunInTurn(Milliseconds(500));
  cr_assert_eq(cluster.running(1), 1);
  cluster.SetRoom(1, kWholeRoom, Publication::kWithNextHeartbeat);
  cluster.RunInTurn(kHeartbeatInterval + Milliseconds(500));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 2);
}

Test(shrinking_capacity, gang_of_which_one_room_shrinks_before_its_start_runs_once_it_grows) {
  ShrinkingCluster cluster(1, 4);
  cluster.DecideWhileCommitsFail(MakeGang(4, 8), StoreFault::kAnswerLost, kLostAnswers);
  cluster.SetRoom(2, kHalfRoom);
  cluster.RunInTurn(kFailingTime);
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 0);
  cluster.SetRoom(2, kWholeRoom);
  cluster.RunInTurn(Milliseconds(2'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1), 4);
}

Test(shrinking_capacity, guaranteed_job_on_a_shrunken_room_waits_for_all_that_exceeds_it) {
  ShrinkingCluster cluster(1, 1);
  cluster.Submit(MakeJobId(1), MakeTasks(1, 4));
  cluster.Submit(MakeJobId(2), MakeTasks(1, 4));
  cluster.RunInTurn(Milliseconds(500));
  cluster.SetRoom(0, kHalfRoom);
  cluster.RunInTurn(kAfterShrink);
  cluster.Submit(MakeJobId(9), MakeTasks(1, 4), Priority(0));
  cluster.RunInTurn(Milliseconds(2'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(9), 1);
  cr_assert_eq(cluster.running(1) + cluster.running(2), 0);
}

Test(shrinking_capacity, guaranteed_job_larger_than_a_shrunken_room_stops_nothing_there) {
  ShrinkingCluster cluster(1, 1);
  cluster.Submit(MakeJobId(1), MakeTasks(1, 4));
  cluster.Submit(MakeJobId(2), MakeTasks(1, 4));
  cluster.RunInTurn(Milliseconds(500));
  cluster.SetRoom(0, kHalfRoom);
  cluster.RunInTurn(kAfterShrink);
  cluster.Submit(MakeJobId(9), MakeTasks(1, 8), Priority(0));
  cluster.RunInTurn(Milliseconds(2'000));
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.running(1) + cluster.running(2), 2);
  cr_assert_eq(cluster.running(9), 0);
}

Test(shrinking_capacity, write_that_is_answered_late_starts_nothing_on_what_it_compared_before) {
  ShrinkingCluster cluster(1, 1);
  cluster.DecideWhileCommitsFail(MakeTasks(8, 1), StoreFault::kAnswerLost, kLostAnswers);
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.SetRoom(0, kHalfRoom);
  cluster.RunInTurn(kFailingTime);
  AssertNoViolations(cluster);
  cr_assert_leq(cluster.running(1), 4);
}

Test(shrinking_capacity, manifest_counts_as_known_from_when_a_write_answered_late_compared_it) {
  TestCluster cluster(1, 1);
  cluster.minions.SetCapacity(Minion(0), kNoRoom, Publication::kAtOnce);
  cluster.Run(Milliseconds(300));
  cluster.Submit(MakeJobId(1), MakeTasks(8, 1));
  cluster.Run(Milliseconds(300));
  cluster.node(0).store().FailNextCommits(
      std::deque<StoreFault>(kLostAnswers, StoreFault::kAnswerLost));
  cluster.minions.SetCapacity(Minion(0), kWholeRoom, Publication::kAtOnce);
  cluster.Run(Milliseconds(200));
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.PutManifest(2);
  const Milliseconds changed_at = cluster.timers.clock().Now();
  const ManifestView& view = cluster.node(0).view();
  while (cluster.timers.clock().Now() < changed_at + kFailingTime) {
    cluster.Run(Milliseconds(1));
    const bool is_current = view.manifest()->version == ManifestVersion(2);
    cr_assert(is_current || view.age() >= cluster.timers.clock().Now() - changed_at);
  }
}

Test(shrinking_capacity, registry_read_again_without_news_leaves_all_minions_in_use) {
  ShrinkingCluster cluster(1, 4);
  cluster.Run(Milliseconds(6'000));
  cluster.store.Put("unrelated", "");
  cluster.store.CompactHistory();
  cluster.Run(Milliseconds(3'000));
  cluster.Submit(MakeJobId(1), MakeTasks(4, 8));
  cluster.Run(Milliseconds(1'000));
  cr_assert_eq(cluster.running(1), 4);
}

Test(shrinking_capacity, write_that_is_refused_for_long_starts_nothing_on_what_it_did_not_compare) {
  ShrinkingCluster cluster(1, 8);
  cluster.DecideWhileCommitsFail(MakeTasks(64, 1), StoreFault::kRefused, kRefusals);
  cluster.node(0).store().SetWatchesSilent(true);
  cluster.SetAllRooms(kHalfRoom);
  cluster.RunInTurn(kFailingTime);
  AssertNoViolations(cluster);
  cr_assert_leq(cluster.running(1), 32);
}

Test(shrinking_capacity, minion_that_drains_while_answers_of_the_write_are_lost_gets_no_start) {
  ShrinkingCluster cluster(1, 1);
  cluster.DecideWhileCommitsFail(MakeTasks(1, 8), StoreFault::kAnswerLost, kLostAnswers);
  cluster.minions.SetDraining(Minion(0));
  cluster.RunInTurn(kFailingTime);
  cr_assert_eq(cluster.node(0).minions().starts(), 0);
}

Test(shrinking_capacity, start_is_not_repeated_once_the_minion_is_known_to_drain) {
  ShrinkingCluster cluster(1, 1);
  cluster.minions.FailNextOrders(Minion(0), {OrderFault::kLost});
  cluster.Submit(MakeJobId(1), MakeTasks(1, 8));
  cluster.RunInTurn(Milliseconds(100));
  cluster.minions.SetDraining(Minion(0));
  cluster.RunInTurn(Milliseconds(4'000));
  cr_assert_eq(cluster.node(0).minions().starts(), 1);
}

Test(shrinking_capacity, minion_in_a_zone_evacuated_while_answers_are_lost_gets_no_start) {
  ShrinkingCluster cluster(1, 1);
  cluster.DecideWhileCommitsFail(MakeTasks(1, 8), StoreFault::kAnswerLost, kLostAnswers);
  cluster.store.Put("op/evacuate/a", "{}");
  cluster.minions.SetEvacuatedSince(cluster.timers.clock().Now());
  cluster.RunInTurn(kFailingTime);
  AssertNoViolations(cluster);
  cr_assert_eq(cluster.node(0).minions().starts(), 0);
}

Test(shrinking_capacity, minion_reborn_while_answers_are_lost_gets_no_start_decided_before) {
  ShrinkingCluster cluster(1, 1);
  RegisteredJob job = MakeTasks(1, 8);
  job.work.steps[0].required_label = "r0";
  cluster.DecideWhileCommitsFail(job, StoreFault::kAnswerLost, kLostAnswers);
  cluster.minions.Restart(Minion(0));
  cluster.minions.SetRack(Minion(0), RackId("r9"));
  cluster.RunInTurn(kFailingTime);
  cr_assert_eq(cluster.node(0).minions().starts(), 0);
}

namespace {

/// Sequences after which a task was started again once it was done: a hold that acknowledged an end
/// of a minion's former process waited at the new one, which forgot an end of its own by it.
const std::vector<std::vector<int>> kFailedSequences = {
    {6518, 6839, 7844, 0, 1859},
    {3250, 8776, 0, 9972, 8303, 8759, 10866, 9915},
};

void CheckSequence(const std::vector<int>& numbers) {
  ShrinkingScenario scenario;
  for (const int number : numbers) {
    scenario.Apply(number);
  }
  scenario.Settle();
  scenario.Check();
}

}  // namespace

Test(shrinking_capacity, sequences_that_failed_once_start_nothing_that_is_done) {
  const bool held = rc::check("sequences that failed once",
                              [] { CheckSequence(*rc::gen::elementOf(kFailedSequences)); });
  cr_assert(held);
}

Test(shrinking_capacity, any_sequence_of_shrinks_and_faults_ends_every_job_within_the_rooms) {
  const bool held = rc::check("rooms shrink and grow under faults in any order", [] {
    CheckSequence(*rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kActionKinds * 1'000)));
  });
  cr_assert(held);
}

}  // namespace papayalift
