#include "libraries/decisions/queue_order.h"

#include <algorithm>

namespace papayalift {

std::vector<const WaitingJob*> SubmissionOrder::Sort(const std::vector<WaitingJob>& waiting) const {
  std::vector<const WaitingJob*> order;
  order.reserve(waiting.size());
  for (const WaitingJob& job : waiting) {
    order.push_back(&job);
  }
  std::stable_partition(order.begin(), order.end(),
                        [](const WaitingJob* job) { return job->urgency == Urgency::kUrgent; });
  return order;
}

}  // namespace papayalift
