#include "services/demo_report.h"

#include <fmt/format.h>

#include "libraries/model/job_names.h"

namespace papayalift {

namespace {

std::string FormatSeconds(Milliseconds duration) {
  constexpr double kMillisecondsPerSecond = 1'000.0;
  return fmt::format("{:.2f} s", static_cast<double>(duration.count()) / kMillisecondsPerSecond);
}

std::string JobRow(const DemoJob& job) {
  const bool accepted = !job.record.id.empty();
  const bool started = job.record.started_at > Milliseconds(0);
  return fmt::format(
      "{:<16} {:<10} {:>2}x{:<3} {:<10} {:<13} {:>9} {:>9}  {}\n", job.spec.key.text(),
      job.spec.workspace.text(), job.spec.shape.tasks.value(),
      job.spec.shape.accelerators_per_task.value(),
      accepted ? JobStateText(job.record.state) : "refused", VerdictText(job.record.verdict),
      started ? FormatSeconds(job.record.started_at - job.record.submitted_at) : "-",
      accepted ? FormatSeconds(job.record.finished_at - job.record.submitted_at) : "-",
      MatchesExpectation(job) ? "right" : "WRONG: " + job.record.reason + job.refusal);
}

}  // namespace

bool MatchesExpectation(const DemoJob& job) {
  const JobRecord& record = job.record;
  switch (job.expected) {
    case ExpectedOutcome::kSucceeds:
      return record.state == JobState::kSucceeded && record.verdict == Verdict::kRan;
    case ExpectedOutcome::kRefused:
      return record.id.empty() && record.verdict == Verdict::kNotRun && !job.refusal.empty();
    case ExpectedOutcome::kCancelled:
      return record.state == JobState::kCancelled && record.verdict != Verdict::kRan;
  }
  return false;
}

std::string DemoTable(const std::vector<DemoJob>& jobs) {
  std::string table =
      fmt::format("{:<16} {:<10} {:<6} {:<10} {:<13} {:>9} {:>9}  {}\n", "job", "workspace", "gang",
                  "state", "verdict", "waited", "completed", "answer");
  for (const DemoJob& job : jobs) {
    table += JobRow(job);
  }
  return table;
}

}  // namespace papayalift
