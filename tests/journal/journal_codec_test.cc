#include <criterion/criterion.h>

#include "libraries/journal/accepted_job_codec.h"
#include "libraries/journal/job_progress_codec.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/work/task_name.h"

namespace papayalift {

Test(journal_codec, encoded_progress_is_decoded_unchanged) {
  JobProgress progress;
  progress.state = WorkState::kRunning;
  progress.steps.resize(1);
  progress.steps[0].tasks.resize(4);
  progress.steps[0].tasks[1] = TaskProgress{
      TaskPhase::kPlaced,       AttemptNumber(3), 1, AttemptNumber(2), "0bb8", MinionId("m"),
      MinionIncarnation(1'700), "10.0.0.7:80"};
  progress.steps[0].tasks[2] =
      TaskProgress{TaskPhase::kWaiting, AttemptNumber(2),    2, AttemptNumber(2), "c",
                   MinionId(),          MinionIncarnation(), ""};
  progress.steps[0].tasks[3].phase = TaskPhase::kDone;
  cr_assert(DecodeJobProgress(EncodeJobProgress(progress)).value() == progress);
  cr_assert(DecodeWorkState(EncodeJobProgress(progress)).value() == WorkState::kRunning);
}

Test(journal_codec, crash_counts_are_kept_while_a_task_waits_and_while_it_is_placed) {
  JobProgress progress;
  progress.state = WorkState::kRunning;
  progress.steps.resize(1);
  progress.steps[0].tasks.resize(2);
  for (TaskProgress& task : progress.steps[0].tasks) {
    task.attempt = AttemptNumber(2);
    task.crashes = 2;
    task.crashes_of_one_job = 1;
    task.first_crash_address = "10.0.0.7:80";
    task.crashes_at_first_address = 1;
  }
  progress.steps[0].tasks[1].phase = TaskPhase::kPlaced;
  progress.steps[0].tasks[1].minion = MinionId("m");
  progress.steps[0].tasks[1].incarnation = MinionIncarnation(1'700);
  cr_assert(DecodeJobProgress(EncodeJobProgress(progress)).value() == progress);
}

Test(journal_codec, late_crash_counts_are_kept_while_a_task_waits_and_while_it_is_placed) {
  JobProgress progress;
  progress.state = WorkState::kRunning;
  progress.steps.resize(1);
  progress.steps[0].tasks.resize(2);
  for (TaskProgress& task : progress.steps[0].tasks) {
    task.attempt = AttemptNumber(2);
    task.first_crash_address = "10.0.0.7:80";
    task.late_crashes = 2;
    task.late_crashes_at_first_address = 1;
    task.late_crash_after = Milliseconds(4'000);
    task.placed_at = Milliseconds(1'700'000);
  }
  progress.steps[0].tasks[1].phase = TaskPhase::kPlaced;
  progress.steps[0].tasks[1].minion = MinionId("m");
  progress.steps[0].tasks[1].incarnation = MinionIncarnation(1'700);
  cr_assert(DecodeJobProgress(EncodeJobProgress(progress)).value() == progress);
}

Test(journal_codec, announced_end_is_kept_while_a_task_is_placed) {
  JobProgress progress;
  progress.state = WorkState::kRunning;
  progress.steps.resize(1);
  progress.steps[0].tasks.resize(2);
  for (TaskProgress& task : progress.steps[0].tasks) {
    task.phase = TaskPhase::kPlaced;
    task.attempt = AttemptNumber(2);
    task.minion = MinionId("m");
    task.incarnation = MinionIncarnation(1'700);
    task.announced_end = HeartbeatNumber(12);
  }
  progress.steps[0].tasks[1].open_losses = {
      OpenLoss{MinionId("n"), MinionIncarnation(3), "10.0.0.8:80"}};
  cr_assert(DecodeJobProgress(EncodeJobProgress(progress)).value() == progress);
}

Test(journal_codec, progress_without_crash_counts_is_decoded) {
  const JobProgress progress =
      DecodeJobProgress(
          R"({"state":"running","ended_at_ms":0,"steps":[[[true,3,1,2,"c","m",17]]]})")
          .value();
  cr_assert(progress.steps[0].tasks[0].phase == TaskPhase::kPlaced);
  cr_assert(progress.steps[0].tasks[0].incarnation == MinionIncarnation(17));
  cr_assert_eq(progress.steps[0].tasks[0].crashes, 0);
}

Test(journal_codec, encoded_accepted_job_is_decoded_unchanged) {
  AcceptedJob job;
  job.id = JobId("0123456789abcdef");
  job.queue = QueueId("q");
  job.workspace = WorkspaceId("w");
  job.priority = Priority(2);
  job.slack_factor = 1.5;
  job.work.payload = "text \xc3\xa9";
  job.work.steps.resize(2);
  job.work.steps[0].kind = WorkStepKind::kGang;
  job.work.steps[0].count = 7;
  job.work.steps[0].needs = Resources{1, 2, 3};
  job.work.steps[0].prefers_one_rack = true;
  job.work.steps[1].after = {0};
  job.work.steps[1].data_rack = RackId("r");
  job.work.steps[1].max_tasks_per_worker = 2;
  const AcceptedJob decoded = DecodeAcceptedJob(EncodeAcceptedJob(job)).value();
  cr_assert_eq(EncodeAcceptedJob(decoded), EncodeAcceptedJob(job));
  cr_assert_eq(decoded.work.steps[0].count, 7);
  cr_assert(decoded.work.steps[1].after == std::vector<int>{0});
}

Test(journal_codec, malformed_records_are_errors) {
  cr_assert_not(DecodeJobProgress("{}").ok());
  cr_assert_not(DecodeJobProgress(R"({"state":"running","steps":[[[]]]})").ok());
  cr_assert_not(DecodeAcceptedJob("nonsense").ok());
}

Test(journal_keys, keys_are_parsed_to_their_job) {
  const JobId job("0123456789abcdef");
  cr_assert(ParseAcceptedKey(AcceptedKey(job))->kind == AcceptedKeyKind::kJob);
  cr_assert(ParseAcceptedKey(CancelKey(job))->kind == AcceptedKeyKind::kCancel);
  cr_assert(ParseAcceptedKey(CancelKey(job))->job == job);
  cr_assert(ParseProgressKey(ProgressKey(job)) == job);
  cr_assert_not(ParseAcceptedKey("op/config").has_value());
}

Test(task_name, formatted_name_is_parsed_and_malformed_text_is_rejected) {
  const TaskName name{JobId("5c0e7a21d94b36f8"), 0, 1, 17};
  cr_assert_eq(FormatTaskName(name), "5c0e7a21d94b36f8.0.1.17");
  cr_assert(ParseTaskName(FormatTaskName(name)) == name);
  for (const char* const text : {"", "a", "a.1", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.-2.3"}) {
    cr_expect_not(ParseTaskName(text).has_value(), "%s", text);
  }
}

}  // namespace papayalift
