#include "libraries/node/job_explanation.h"

#include <fmt/format.h>

#include <set>

namespace papayalift {

namespace {

/// "in zone 'a' on w1, w2, under its workspace's guarantee"
std::string PlaceText(const PlacementRecord& placement) {
  std::set<std::string> workers;
  for (const TaskPlacement& task : placement.tasks) {
    workers.insert(task.worker.text());
  }
  const char* const claim = placement.claim == Claim::kGuaranteed
                                ? "under its workspace's guarantee"
                                : "on borrowed capacity, which may be reclaimed";
  return fmt::format("in zone '{}' on {}, {}", placement.zone.text(), fmt::join(workers, ", "),
                     claim);
}

std::string WaitingText(const JobRecord& job, const std::optional<WaitDecision>& wait) {
  std::string text = wait ? wait->reason : "it waits for the next pass";
  if (job.attempt > AttemptNumber(0)) {
    text += fmt::format("; its attempt {} was stopped: {}", job.attempt.value(), job.reason);
  }
  return text;
}

}  // namespace

std::string ExplanationOf(const JobRecord& job, const PlacementRecord* placement,
                          const std::optional<WaitDecision>& wait) {
  if (job.state == JobState::kQueued) {
    return WaitingText(job, wait);
  }
  if (placement != nullptr && !IsFinal(job.state)) {
    return fmt::format("{}; it sits {}", job.reason, PlaceText(*placement));
  }
  return job.reason;
}

}  // namespace papayalift
