// A minion without runs is cut from the store, starts again behind the cut, gets a task, and is
// then cut from the nodes too, while it works on.
#include "../lib-2/world.hpp"

namespace review {

int Run(const std::string& folder) {
  World world(folder, 4);
  if (!world.AwaitReady()) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Ms(4'000));
  const std::string job = "00000000000000a1";
  // The planner takes the first of several empty minions.
  Minion& minion = *world.minions.front();
  if (HasTrouble()) {
    minion.CutFromStore(true);
    minion.Crash();
    std::this_thread::sleep_for(Ms(100));
    minion.Boot();
  }
  if (world.nodes.front()->Ask("POST", job, JobBody("30000")).status != 200) {
    return kNotRun;
  }
  if (!World::Await(Ms(5'000), [&] { return world.MinionOf(job) != nullptr; })) {
    return kNotRun;
  }
  Minion& first = *world.MinionOf(job);
  if (HasTrouble()) {
    if (&first != &minion) {
      return kNotRun;
    }
    std::this_thread::sleep_for(Ms(1'000));
    first.CutFromNodes(true);
    std::this_thread::sleep_for(Ms(5'500));
    first.CutFromNodes(false);
    first.CutFromStore(false);
  }
  std::this_thread::sleep_for(Ms(5'000));
  const std::int64_t overlap = world.LongestOverlap();
  world.record.Write(overlap > 0 ? "BROKEN: TWICE" : "held");
  return overlap > 0 ? kBroken : kHeld;
}

}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
