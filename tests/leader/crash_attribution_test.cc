#include "libraries/leader/crash_attribution.h"

#include <criterion/criterion.h>

#include <string>

namespace papayalift {

namespace {

constexpr Milliseconds kOrderedAt{10'000};
constexpr Milliseconds kCrashedAt{10'020};
constexpr Milliseconds kJudgedAt{16'000};
constexpr MinionIncarnation kIncarnation(7);

/// Eight registered minions in one zone that are all heard from after the crash.
struct AttributionFixture {
  AttributionFixture() {
    for (int number = 0; number < 8; ++number) {
      TrackedMinion minion;
      minion.id = MinionId("m" + std::to_string(number));
      minion.zone = ZoneId("a");
      minion.entry = MinionEntry();
      minion.entry->incarnation = kIncarnation;
      minion.incarnation = kIncarnation;
      minion.entry_heard_at = kJudgedAt;
      state.minions[minion.id] = minion;
    }
  }

  TrackedMinion& Minion(int number) {
    return state.minions.at(MinionId("m" + std::to_string(number)));
  }

  /// A start that the minion has confirmed.
  static TrackedRun RunOf(const std::string& job, int minion) {
    TrackedRun run;
    run.task = TaskName{JobId(job), 0, 0, 0};
    run.attempt = AttemptNumber(1);
    run.minion = MinionId("m" + std::to_string(minion));
    run.incarnation = kIncarnation;
    run.orders_sent = 1;
    run.ordered_at = kOrderedAt;
    run.answered_at = kOrderedAt;
    return run;
  }

  /// The process that the runs are on announces its end.
  void AnnounceEnd(int number) {
    state.planned_ends.Restore(Minion(number).id, kIncarnation, HeartbeatNumber(3), kOrderedAt);
  }

  /// The minion's host refuses connections.
  void RefuseCalls(int number, Milliseconds at = kCrashedAt) {
    Minion(number).silence = MinionSilence{at, true, false};
    Minion(number).entry_heard_at = at - Milliseconds(500);
  }

  /// The same, as its process ends. The next one registers.
  void EndProcess(int number, Milliseconds at = kCrashedAt) {
    RefuseCalls(number, at);
    Minion(number).entry->incarnation = kIncarnation.Next();
  }

  bool Lose(const TrackedRun& run) {
    return attribution.RecordLoss(state, state.minions.at(run.minion), run, kJudgedAt);
  }

  bool LoseLate(const TrackedRun& run) {
    return attribution.RecordLateLoss(state, state.minions.at(run.minion), run, false, kJudgedAt)
        .has_value();
  }

  LeaderState state;
  CrashAttribution attribution;
};

}  // namespace

Test(crash_attribution, only_suspect_on_a_crashed_minion_is_judged_once) {
  AttributionFixture fixture;
  fixture.EndProcess(0);
  cr_assert(fixture.Lose(AttributionFixture::RunOf("a", 0)));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert_eq(judged.size(), 1);
  cr_assert(judged[0].cause == CrashCause::kOneJob);
  cr_assert(fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt).empty());
}

Test(crash_attribution, suspects_of_two_jobs_leave_the_cause_uncertain) {
  AttributionFixture fixture;
  fixture.EndProcess(0);
  fixture.Lose(AttributionFixture::RunOf("a", 0));
  fixture.Lose(AttributionFixture::RunOf("b", 0));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert_eq(judged.size(), 2);
  cr_assert(judged[0].cause == CrashCause::kUncertain && judged[1].cause == CrashCause::kUncertain);
}

Test(crash_attribution, start_that_was_not_confirmed_leaves_the_cause_uncertain) {
  AttributionFixture fixture;
  fixture.EndProcess(0);
  TrackedRun run = AttributionFixture::RunOf("a", 0);
  run.answered_at.reset();
  fixture.Lose(run);
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert(judged.at(0).cause == CrashCause::kUncertain);
}

Test(crash_attribution, cut_off_draining_or_outlived_runs_are_no_suspects) {
  AttributionFixture fixture;
  fixture.Minion(0).silence = MinionSilence{kCrashedAt};
  cr_assert_not(fixture.Lose(AttributionFixture::RunOf("a", 0)), "the minion may be cut off");
  fixture.EndProcess(1);
  fixture.AnnounceEnd(1);
  cr_assert_not(fixture.Lose(AttributionFixture::RunOf("a", 1)), "the minion was draining");
  fixture.EndProcess(2);
  TrackedRun run = AttributionFixture::RunOf("a", 2);
  run.has_outlived_start = true;
  cr_assert_not(fixture.Lose(run), "a report has listed the run long after its start");
  fixture.EndProcess(3, kOrderedAt + kStartProbation);
  cr_assert_not(fixture.Lose(AttributionFixture::RunOf("a", 3)), "it crashed long after the start");
}

// The other members of a gang end with the first that is lost, whatever becomes of their minions.
Test(crash_attribution, member_of_a_gang_that_was_broken_before_is_no_suspect) {
  AttributionFixture fixture;
  fixture.EndProcess(0);
  TrackedRun run = AttributionFixture::RunOf("a", 0);
  run.is_gang_broken = true;
  cr_assert_not(fixture.Lose(run));
  run.running_since = kOrderedAt;
  run.has_outlived_start = true;
  cr_assert_not(fixture.LoseLate(run));
}

Test(crash_attribution, most_minions_of_a_zone_lost_without_cause_are_an_outage) {
  AttributionFixture fixture;
  for (int number = 0; number < 5; ++number) {
    fixture.EndProcess(number);
  }
  fixture.Lose(AttributionFixture::RunOf("a", 0));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert(judged.at(0).cause == CrashCause::kOutage);
}

Test(crash_attribution, few_minions_of_a_zone_lost_without_cause_are_no_outage) {
  AttributionFixture fixture;
  for (int number = 0; number < 3; ++number) {
    fixture.EndProcess(number);
  }
  fixture.Lose(AttributionFixture::RunOf("a", 0));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert(judged.at(0).cause == CrashCause::kOneJob);
}

Test(crash_attribution, crashes_right_after_starts_are_no_outage) {
  AttributionFixture fixture;
  for (int number = 0; number < 8; ++number) {
    fixture.EndProcess(number);
    fixture.Lose(AttributionFixture::RunOf("job" + std::to_string(number), number));
  }
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert_eq(judged.size(), 8);
  for (const JudgedRun& run : judged) {
    cr_expect(run.cause == CrashCause::kOneJob);
  }
}

Test(crash_attribution, judgement_waits_until_the_zone_was_heard_from_but_not_for_ever) {
  AttributionFixture fixture;
  fixture.EndProcess(0);
  // So many that they would make it an outage.
  for (int number = 1; number < 5; ++number) {
    fixture.Minion(number).entry_heard_at = kCrashedAt - Milliseconds(100);
  }
  fixture.Lose(AttributionFixture::RunOf("a", 0));
  cr_assert(fixture.attribution
                .TakeJudged(fixture.state, JudgementScope::kAll, kCrashedAt + Milliseconds(1'000))
                .empty());
  cr_assert_eq(
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt).size(), 1);
}

// A task stood beside empty minions while one elsewhere in the zone was silent.
Test(crash_attribution, judgement_waits_for_no_minions_that_can_not_change_it) {
  AttributionFixture fixture;
  fixture.EndProcess(0);
  for (int number = 1; number < 4; ++number) {
    fixture.Minion(number).entry_heard_at = kCrashedAt - Milliseconds(100);
  }
  fixture.Lose(AttributionFixture::RunOf("a", 0));
  const std::vector<JudgedRun> judged = fixture.attribution.TakeJudged(
      fixture.state, JudgementScope::kAll, kCrashedAt + Milliseconds(1'000));
  cr_assert_eq(judged.size(), 1);
  cr_assert(judged[0].cause == CrashCause::kOneJob);
}

// Where nothing shows a crash, a minion may have left as planned (review/4).
Test(crash_attribution, minion_that_left_before_the_term_has_crashed_only_if_it_is_back) {
  for (const std::int64_t successor_incarnation : {0, 6, 8}) {
    AttributionFixture fixture;
    TrackedMinion& gone = fixture.Minion(0);
    gone.entry.reset();
    gone.incarnation = MinionIncarnation(0);
    gone.vanished_at = kCrashedAt;
    gone.address = "10.0.0.1:80";
    if (successor_incarnation != 0) {
      fixture.Minion(1).address = gone.address;
      fixture.Minion(1).entry->incarnation = MinionIncarnation(successor_incarnation);
    }
    TrackedRun run = AttributionFixture::RunOf("a", 0);
    run.orders_sent = 0;
    cr_assert(fixture.Lose(run));
    const std::vector<JudgedRun> judged =
        fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
    const bool is_back = MinionIncarnation(successor_incarnation) > kIncarnation;
    cr_expect(judged.at(0).cause == (is_back ? CrashCause::kUncertain : CrashCause::kOpen));
    cr_expect(judged.at(0).cause_if_ended == CrashCause::kLate);
  }
}

Test(crash_attribution, task_is_given_up_after_two_crashes_of_its_job_or_three_of_any) {
  TaskProgress task;
  task.crashes = 2;
  task.crashes_of_one_job = 1;
  cr_assert_not(IsCrashLooping(task));
  task.crashes = 3;
  cr_assert(IsCrashLooping(task));
  task.crashes = 2;
  task.crashes_of_one_job = 2;
  cr_assert(IsCrashLooping(task));
}

// Two ends of one minion that went down and up gave the jobs on it up.
Test(crash_attribution, task_is_given_up_later_if_all_crashes_were_on_one_machine) {
  TaskProgress task;
  task.crashes = 3;
  task.crashes_of_one_job = 3;
  task.crashes_at_first_address = 3;
  cr_assert_not(IsCrashLooping(task));
  task.crashes = 4;
  cr_assert(IsCrashLooping(task), "the fourth was on another machine");
  task.crashes_at_first_address = 4;
  cr_assert(IsCrashLooping(task), "the fourth was on the same one");
}

Test(crash_attribution, run_that_outlived_its_start_is_judged_as_lost_late) {
  AttributionFixture fixture;
  fixture.EndProcess(0, kOrderedAt + Milliseconds(4'000));
  TrackedRun run = AttributionFixture::RunOf("a", 0);
  run.running_since = kOrderedAt;
  run.has_outlived_start = true;
  cr_assert(fixture.LoseLate(run));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert_eq(judged.size(), 1);
  cr_assert(judged[0].cause == CrashCause::kLate);
}

Test(crash_attribution, late_losses_that_have_another_cause_or_come_too_late_are_not_recorded) {
  AttributionFixture fixture;
  TrackedRun run = AttributionFixture::RunOf("a", 0);
  run.running_since = kOrderedAt;
  run.has_outlived_start = true;
  fixture.Minion(0).silence = MinionSilence{kOrderedAt + Milliseconds(4'000)};
  cr_assert_not(fixture.LoseLate(run), "the minion may be cut off");
  fixture.EndProcess(0, kOrderedAt + Milliseconds(4'000));
  fixture.AnnounceEnd(0);
  cr_assert_not(fixture.LoseLate(run), "the minion was draining");
  fixture.state.planned_ends = PlannedEnds();
  fixture.EndProcess(0, kOrderedAt + kMaxLateCrash);
  cr_assert_not(fixture.LoseLate(run), "it had run for long");
  fixture.EndProcess(0);
  run.has_outlived_start = false;
  cr_assert_not(fixture.LoseLate(run), "it was lost at its start");
}

Test(crash_attribution, late_losses_in_an_outage_accuse_no_task) {
  AttributionFixture fixture;
  for (int number = 0; number < 5; ++number) {
    fixture.EndProcess(number, kOrderedAt + Milliseconds(4'000));
    TrackedRun run = AttributionFixture::RunOf("job" + std::to_string(number), number);
    run.running_since = kOrderedAt;
    run.has_outlived_start = true;
    cr_assert(fixture.LoseLate(run));
  }
  for (const JudgedRun& run :
       fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt)) {
    cr_expect(run.cause == CrashCause::kOutage);
  }
}

// Work beside a deadly start is not another suspect of it.
Test(crash_attribution, run_lost_late_beside_a_start_leaves_the_cause_certain) {
  AttributionFixture fixture;
  fixture.EndProcess(0);
  TrackedRun older = AttributionFixture::RunOf("old", 0);
  older.running_since = kOrderedAt - Milliseconds(4'000);
  older.has_outlived_start = true;
  cr_assert(fixture.LoseLate(older));
  cr_assert(fixture.Lose(AttributionFixture::RunOf("a", 0)));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert_eq(judged.size(), 2);
  cr_expect(judged[0].cause == CrashCause::kLate);
  cr_expect(judged[1].cause == CrashCause::kOneJob);
}

Test(crash_attribution, task_is_given_up_after_four_crashes_at_any_time_or_five_on_one_machine) {
  TaskProgress task;
  task.crashes = 1;
  task.late_crashes = 2;
  cr_assert_not(IsCrashLooping(task));
  task.late_crashes = 3;
  cr_assert(IsCrashLooping(task));
  task.crashes_at_first_address = 1;
  task.late_crashes_at_first_address = 3;
  cr_assert_not(IsCrashLooping(task));
  task.late_crashes = 4;
  task.late_crashes_at_first_address = 4;
  cr_assert(IsCrashLooping(task));
}

Test(crash_attribution, late_crashes_at_another_point_of_the_work_start_a_new_count) {
  TaskProgress task;
  CountLateCrash(task, LateLoss{"a", Milliseconds(4'000)});
  CountLateCrash(task, LateLoss{"b", Milliseconds(4'300)});
  CountLateCrash(task, LateLoss{"a", std::nullopt});
  cr_assert_eq(task.late_crashes, 3);
  cr_assert_eq(task.late_crashes_at_first_address, 2);
  CountLateCrash(task, LateLoss{"b", Milliseconds(9'000)});
  cr_assert_eq(task.late_crashes, 1);
  cr_assert_eq(task.first_crash_address, "b");
  UncountLateCrash(task, "b");
  cr_assert(task == TaskProgress{});
}

// A cut that refuses connections was taken for the end of the process (review/7).
Test(crash_attribution, refused_calls_alone_leave_open_whether_the_process_has_ended) {
  AttributionFixture fixture;
  fixture.RefuseCalls(0);
  cr_assert(fixture.Lose(AttributionFixture::RunOf("a", 0)));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert_eq(judged.size(), 1);
  cr_assert(judged[0].cause == CrashCause::kOpen);
  cr_assert(judged[0].cause_if_ended == CrashCause::kOneJob);
}

Test(crash_attribution, late_loss_behind_refused_calls_is_not_counted_at_once) {
  AttributionFixture fixture;
  fixture.RefuseCalls(0, kOrderedAt + Milliseconds(4'000));
  TrackedRun run = AttributionFixture::RunOf("a", 0);
  run.has_outlived_start = true;
  const std::optional<LateLoss> loss =
      fixture.attribution.RecordLateLoss(fixture.state, fixture.Minion(0), run, true, kJudgedAt);
  cr_assert_not(loss.value().has_ended);
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert(judged.at(0).cause == CrashCause::kOpen);
  cr_assert(judged.at(0).cause_if_ended == CrashCause::kLate);
  cr_assert_not(judged.at(0).is_counted);
}

Test(crash_attribution, minions_gone_for_good_after_each_start_give_a_task_up_after_five) {
  TaskProgress task;
  cr_assert_not(IsLosingMinions(task, 4));
  cr_assert(IsLosingMinions(task, 5));
  task.crashes = 5;
  cr_assert_not(IsLosingMinions(task, 0));
  task.crashes = 1;
  task.late_crashes = 1;
  cr_assert(IsLosingMinions(task, 3));
}

Test(crash_attribution, open_losses_of_a_task_are_bounded) {
  TaskProgress task;
  for (int number = 0; number < 20; ++number) {
    AddOpenLoss(task, OpenLoss{MinionId(std::to_string(number)), kIncarnation, "address"});
  }
  cr_assert_eq(task.open_losses.size(), 5);
  cr_assert(task.open_losses.back().minion == MinionId("19"));
}

Test(crash_attribution, late_crash_that_was_counted_at_once_is_judged_as_such) {
  AttributionFixture fixture;
  fixture.EndProcess(0, kOrderedAt + Milliseconds(4'000));
  TrackedRun run = AttributionFixture::RunOf("a", 0);
  run.has_outlived_start = true;
  const std::optional<LateLoss> loss =
      fixture.attribution.RecordLateLoss(fixture.state, fixture.Minion(0), run, true, kJudgedAt);
  cr_assert(loss.value().ran_for == Milliseconds(4'000));
  const std::vector<JudgedRun> judged =
      fixture.attribution.TakeJudged(fixture.state, JudgementScope::kAll, kJudgedAt);
  cr_assert(judged.at(0).is_counted);
  cr_assert(judged.at(0).ran_for == Milliseconds(4'000));
}

}  // namespace papayalift
