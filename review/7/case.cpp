// Two minions crash, one after the other, each soon after it has started the same task.
#include "../lib-2/world.hpp"

namespace review {

int Run(const std::string& folder) {
  World world(folder, 8);
  if (!world.AwaitReady()) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Ms(2'000));
  const std::string job = "00000000000000b1";
  Node& node = *world.nodes.front();
  if (node.Ask("POST", job, JobBody("4000")).status != 200) {
    return kNotRun;
  }
  for (int crash = 0; crash < 2 && HasTrouble(); ++crash) {
    if (!World::Await(Ms(25'000), [&] { return world.MinionOf(job) != nullptr; })) {
      break;
    }
    Minion& minion = *world.MinionOf(job);
    std::this_thread::sleep_for(Ms(500));
    minion.Crash();
    std::this_thread::sleep_for(Ms(4'500));
    minion.Boot();
  }
  std::string state;
  World::Await(Ms(60'000), [&] {
    std::this_thread::sleep_for(Ms(500));
    state = world.StateOf(node, job);
    return state == "done" || state == "failed";
  });
  int failed_runs = 0;
  for (const Interval& interval : world.Intervals()) {
    world.record.Write("attempt " + std::to_string(interval.attempt) + " on " + interval.minion +
                       " ended " + interval.how);
    failed_runs += interval.how == "failed" ? 1 : 0;
  }
  const bool is_broken = state == "failed" && failed_runs < 4;
  world.record.Write(is_broken ? "BROKEN: LOST, the job is shown as failed, and " +
                                     std::to_string(failed_runs) + " of its runs have ended so"
                               : "held");
  return is_broken ? kBroken : state == "done" ? kHeld : kNotRun;
}

}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
