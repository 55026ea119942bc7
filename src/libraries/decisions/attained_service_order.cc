#include "libraries/decisions/attained_service_order.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace papayalift {

namespace {

/// Accelerator-time at which a job is demoted to the next level.
constexpr std::array<std::chrono::hours, 3> kLevelThresholds{
    std::chrono::hours(1), std::chrono::hours(8), std::chrono::hours(64)};
/// Waiting time that promotes a job by one level.
constexpr Milliseconds kAgingInterval = std::chrono::minutes(30);

struct RankedJob {
  bool normal = false;
  std::int64_t level = 0;
  const WaitingJob* job = nullptr;
};

std::int64_t LevelOf(const WaitingJob& job) {
  const Milliseconds service = job.attained_time * job.shape.Total().value();
  const std::int64_t demotions = std::count_if(
      kLevelThresholds.begin(), kLevelThresholds.end(),
      [service](const std::chrono::hours& threshold) { return service >= threshold; });
  return std::max(std::int64_t{0}, demotions - job.waiting_for / kAgingInterval);
}

}  // namespace

std::vector<const WaitingJob*> AttainedServiceOrder::Sort(
    const std::vector<WaitingJob>& waiting) const {
  std::vector<RankedJob> ranked_jobs;
  ranked_jobs.reserve(waiting.size());
  for (const WaitingJob& job : waiting) {
    ranked_jobs.push_back({job.urgency == Urgency::kNormal, LevelOf(job), &job});
  }
  std::stable_sort(ranked_jobs.begin(), ranked_jobs.end(),
                   [](const RankedJob& left, const RankedJob& right) {
                     return std::tie(left.normal, left.level) < std::tie(right.normal, right.level);
                   });
  std::vector<const WaitingJob*> order;
  order.reserve(ranked_jobs.size());
  for (const RankedJob& entry : ranked_jobs) {
    order.push_back(entry.job);
  }
  return order;
}

}  // namespace papayalift
