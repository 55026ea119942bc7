// A submission is not answered by the store, its job is cancelled, the store goes down with its
// leases, and then the submission is carried out.
#include "../lib-2/world.hpp"

namespace review {

int Run(const std::string& folder) {
  World world(folder, 4);
  if (!world.AwaitReady()) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Ms(2'000));
  const std::string job = "00000000000000d1";
  if (HasTrouble()) {
    world.store->LoseNextSubmission(Ms(6'000));
  }
  int submitted = 0;
  std::thread consumer(
      [&] { submitted = world.nodes[0]->Ask("POST", job, JobBody("20000")).status; });
  std::this_thread::sleep_for(Ms(500));
  const int cancelled = world.nodes[1]->Ask("DELETE", job).status;
  const std::int64_t cancelled_at = world.record.Now();
  consumer.join();
  if (HasTrouble()) {
    if (submitted != 503 || cancelled != 410) {
      return kNotRun;
    }
    world.record.Write("the store is down, its leases run out");
    world.store->SetDown(true);
    std::this_thread::sleep_for(Ms(1'000));
    world.store->SetDown(false);
    world.record.Write("the store is back");
  }
  std::this_thread::sleep_for(Ms(15'000));
  world.record.Write("the late submission met status " + std::to_string(world.store->late_status));
  constexpr std::int64_t kCancelMs = 3'000;
  constexpr std::int64_t kStopMs = 400;
  bool is_broken = false;
  for (const Interval& run : world.Intervals()) {
    world.record.Write(run.task + " ran on " + run.minion + " from " + std::to_string(run.from) +
                       " to " + std::to_string(run.to) + " ms; cancelled at " +
                       std::to_string(cancelled_at) + " ms");
    is_broken = is_broken || run.to > cancelled_at + kCancelMs + kStopMs;
  }
  world.record.Write(is_broken ? "BROKEN: UNASKED and REFUSED" : "held");
  return is_broken ? kBroken : kHeld;
}

}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
