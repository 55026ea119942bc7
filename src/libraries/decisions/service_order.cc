#include "libraries/decisions/service_order.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace papayalift {

namespace {

/// Accelerator-time at which a job falls to the next level.
constexpr std::array<std::chrono::hours, 3> kLevels{std::chrono::hours(1), std::chrono::hours(8),
                                                    std::chrono::hours(64)};
/// Waiting that lifts a job by one level.
constexpr Milliseconds kLiftAfter = std::chrono::minutes(30);

struct Ranked {
  bool normal = false;
  std::int64_t level = 0;
  const WaitingJob* job = nullptr;
};

std::int64_t LevelOf(const WaitingJob& job) {
  const Milliseconds service = job.attained * job.shape.Total().value();
  const std::int64_t fallen = std::count_if(
      kLevels.begin(), kLevels.end(),
      [service](const std::chrono::hours& threshold) { return service >= threshold; });
  return std::max(std::int64_t{0}, fallen - job.waiting_for / kLiftAfter);
}

}  // namespace

std::vector<const WaitingJob*> ServiceOrder::Sort(const std::vector<WaitingJob>& waiting) const {
  std::vector<Ranked> ranked;
  ranked.reserve(waiting.size());
  for (const WaitingJob& job : waiting) {
    ranked.push_back({job.urgency == Urgency::kNormal, LevelOf(job), &job});
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    return std::tie(left.normal, left.level) < std::tie(right.normal, right.level);
  });
  std::vector<const WaitingJob*> order;
  order.reserve(ranked.size());
  for (const Ranked& entry : ranked) {
    order.push_back(entry.job);
  }
  return order;
}

}  // namespace papayalift
