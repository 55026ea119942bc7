// The leader is killed shortly before more than a thousand tasks end on one minion.
#include "../lib-2/world.hpp"

namespace review {

namespace {

constexpr int kJobs = 14;
constexpr int kTasks = 90;
constexpr int kWorkMs = 5'000;

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0xc00 + number);
  return id;
}

}  // namespace

int Run(const std::string& folder) {
  World world(folder, 2);
  if (!world.AwaitReady()) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Ms(2'000));
  const std::string step = R"({"count":)" + std::to_string(kTasks) +
                           R"(,"cpu":100,"memMb":128,"estimateMs":)" + std::to_string(kWorkMs) +
                           "}";
  const std::string body =
      R"({"spec":")" + std::to_string(kWorkMs) + R"(","phases":[)" + step + "]}";
  Node& node = *world.nodes.front();
  for (int number = 0; number < kJobs; ++number) {
    if (node.Ask("POST", JobId(number), body).status != 200) {
      return kNotRun;
    }
    std::this_thread::sleep_for(Ms(50));
  }
  if (!World::Await(Ms(4'000), [&] { return world.Intervals().size() == kJobs * kTasks; })) {
    return kNotRun;
  }
  std::int64_t first_start = world.record.Now();
  for (const Interval& run : world.Intervals()) {
    first_start = std::min(first_start, run.from);
  }
  Node* const leader = world.Leader();
  if (leader == nullptr) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Ms(first_start + kWorkMs - 300 - world.record.Now()));
  if (HasTrouble()) {
    leader->Signal(SIGKILL);
    std::this_thread::sleep_for(Ms(3'000));
    leader->Start();
  }
  World::Await(Ms(20'000), [&] {
    std::this_thread::sleep_for(Ms(500));
    for (int number = 0; number < kJobs; ++number) {
      if (world.StateOf(*world.nodes[leader == &node ? 1 : 0], JobId(number)) != "done") {
        return false;
      }
    }
    return true;
  });
  std::this_thread::sleep_for(Ms(1'000));
  const int again = world.StartsAfterDone();
  world.record.Write(again > 0 ? "BROKEN: TWICE, tasks started again: " + std::to_string(again)
                               : "held");
  return again > 0 ? kBroken : kHeld;
}

}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
