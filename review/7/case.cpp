// Two minions are cut off, one after the other, each soon after it has started the same task. The
// cuts refuse connections; no process ends.
#include "../lib-2/world.hpp"

namespace review {

namespace {

// Cuts the minion off that runs the job, unless it is the one of that id, 0.6 s after the start.
// Returns its id, or nothing if no other minion has started the job within 12 s.
std::string CutMinionOf(World& world, const std::string& job, const std::string& other_than,
                        std::vector<std::thread>& cuts) {
  Minion* minion = nullptr;
  const auto is_started = [&] {
    for (const std::unique_ptr<Minion>& one : world.minions) {
      if (one->id() != other_than && one->IsRunning(job)) {
        minion = one.get();
      }
    }
    return minion != nullptr;
  };
  if (!World::Await(Ms(12'000), is_started)) {
    return "";
  }
  std::this_thread::sleep_for(Ms(600));
  cuts.emplace_back([minion] {
    const Clock::time_point until = Clock::now() + Ms(5'500);
    minion->RefuseNodes(true);
    std::this_thread::sleep_until(until);
    minion->RefuseNodes(false);
  });
  return minion->id();
}

}  // namespace

int Run(const std::string& folder) {
  World world(folder, 12);
  if (!world.AwaitReady()) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Ms(2'000));
  const std::string job = "00000000000000b1";
  Node& node = *world.nodes.front();
  if (node.Ask("POST", job, JobBody("8000")).status != 200) {
    return kNotRun;
  }
  std::vector<std::thread> cuts;
  const std::string first = HasTrouble() ? CutMinionOf(world, job, "", cuts) : "";
  if (HasTrouble() && first.empty()) {
    return kNotRun;
  }
  if (HasTrouble()) {
    CutMinionOf(world, job, first, cuts);
  }
  std::string state;
  World::Await(Ms(60'000), [&] {
    std::this_thread::sleep_for(Ms(500));
    state = world.StateOf(node, job);
    return state == "done" || state == "failed";
  });
  for (std::thread& cut : cuts) {
    cut.join();
  }
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
