// A minion without runs starts again under its id, and is cut off from the nodes while it works.
#include "../lib-2/world.hpp"

namespace review {

namespace {

const std::string kJob = "00000000000000a1";
constexpr int kMinions = 9;
constexpr int kBusyMinions = 7;

// Jobs that each take all accelerators of a minion for as long as the case lasts.
bool KeepMinionsBusy(World& world) {
  const std::string body =
      R"({"spec":"100000","phases":[{"count":1,"cpu":2000,"memMb":1024,"gpu":8,"estimateMs":100000}]})";
  for (int number = 0; number < kBusyMinions; ++number) {
    if (world.nodes.front()->Ask("POST", "000000000000001" + std::to_string(number), body).status !=
        200) {
      return false;
    }
  }
  return World::Await(Ms(5'000), [&] { return world.Intervals().size() == kBusyMinions; });
}

// The first minion that the jobs have left empty.
Minion* FirstIdle(World& world) {
  for (const std::unique_ptr<Minion>& minion : world.minions) {
    if (minion->Intervals().empty()) {
      return minion.get();
    }
  }
  return nullptr;
}

bool Submit(World& world) {
  return world.nodes.front()->Ask("POST", kJob, JobBody("30000")).status == 200 &&
         World::Await(Ms(5'000), [&] { return world.MinionOf(kJob) != nullptr; });
}

bool CutOff(World& world, Minion& minion, Ms delay) {
  if (world.MinionOf(kJob) != &minion) {
    return false;
  }
  std::this_thread::sleep_for(delay);
  minion.CutFromNodes(true);
  std::this_thread::sleep_for(Ms(5'500));
  minion.CutFromNodes(false);
  return true;
}

// It starts again behind a cut from the store, so that the nodes don't know of it when they send
// the start order.
bool StartAgainUnnoticed(World& world, Minion& minion) {
  std::this_thread::sleep_for(Ms(4'000));
  if (HasTrouble()) {
    minion.CutFromStore(true);
    minion.Crash();
    std::this_thread::sleep_for(Ms(100));
    minion.Boot();
  }
  if (!Submit(world)) {
    return false;
  }
  if (HasTrouble()) {
    const bool is_cut = CutOff(world, minion, Ms(1'000));
    minion.CutFromStore(false);
    return is_cut;
  }
  return true;
}

// The first hold to the new process is left unanswered and carried out 12 s later.
bool HoldCarriedOutLate(World& world, Minion& minion) {
  std::this_thread::sleep_for(Ms(20'000));
  if (HasTrouble()) {
    minion.Crash();
    std::this_thread::sleep_for(Ms(1'000));
    minion.CarryOutNextHoldLate(Ms(12'000));
    minion.Boot();
  }
  std::this_thread::sleep_for(Ms(9'000));
  return Submit(world) && (!HasTrouble() || CutOff(world, minion, Ms(3'700)));
}

}  // namespace

int Run(const std::string& folder) {
  World world(folder, kMinions);
  if (!world.AwaitReady() || !KeepMinionsBusy(world)) {
    return kNotRun;
  }
  // The planner takes the first of several empty minions.
  Minion& minion = *FirstIdle(world);
  const char* const variant = std::getenv("VARIANT");
  const bool is_late_hold = variant != nullptr && std::string(variant) == "late-hold";
  if (!(is_late_hold ? HoldCarriedOutLate : StartAgainUnnoticed)(world, minion)) {
    return kNotRun;
  }
  std::this_thread::sleep_for(Ms(5'000));
  const std::int64_t overlap = world.LongestOverlap();
  world.record.Write(overlap > 0 ? "BROKEN: TWICE" : "held");
  return overlap > 0 ? kBroken : kHeld;
}

}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
