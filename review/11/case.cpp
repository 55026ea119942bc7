/// A minion that runs a task crashes shortly after the task's start, and so does the next one that gets it.
#include "../lib-3/stand_in.hpp"

namespace {

using namespace stand_in;

constexpr int kMinions = 8;
constexpr int kCrashes = 2;
/// From the start of the task at the minion until its minion crashes.
constexpr int kCrashAfterMs = 300;
/// As `for_s` of the site's `srv_crash`.
constexpr int kDownMs = 4'500;

/// The minion whose "started" line of the job is number `index`, counted from 0; empty if there is none.
std::string StartOf(Record& record, const std::string& job, std::size_t index) {
  std::size_t seen = 0;
  for (const std::string& line : record.lines()) {
    if (line.find(": started " + job + ".") != std::string::npos && seen++ == index) {
      return line.substr(0, line.find(':'));
    }
  }
  return "";
}

int Run() {
  // Threads of the stand-ins use them until the process ends.
  Record& record = *new Record("record.txt");
  Store& store = *new Store(record);
  store.Start();
  Fleet fleet(record, store);
  store.Put("op/config", Manifest(1));
  for (int number = 0; number < kMinions; ++number) {
    MinionSettings minion;
    minion.id = "i-" + std::to_string(number);
    minion.rack = "r-" + std::to_string(number / 4);
    fleet.StartMinion(minion);
  }
  for (const char* const node : {"edge-1", "edge-2", "edge-3"}) {
    fleet.StartEdge(node);
  }
  if (!fleet.AwaitReady("edge-1") || fleet.AwaitLeader().empty()) {
    return kCouldNotRun;
  }
  SleepMs(3'000);
  const std::string job = "00000000000000a1";
  const std::string body =
      R"({"spec":"x","phases":[{"count":1,"cpu":4000,"memMb":1024,"gpu":2,"estimateMs":3000}]})";
  if (fleet.Ask("edge-1", "POST", "/scan/" + job, body).status != 200) {
    return kCouldNotRun;
  }
  std::vector<std::thread> returns;
  std::string state;
  std::size_t crashes = 0;
  std::int64_t next_ask = SteadyMs();
  for (const std::int64_t until = SteadyMs() + 60'000; SteadyMs() < until; SleepMs(20)) {
    if (HasTrouble() && crashes < kCrashes) {
      const std::string minion = StartOf(record, job, crashes);
      if (!minion.empty()) {
        SleepMs(kCrashAfterMs);
        fleet.KillMinion(minion);
        ++crashes;
        returns.emplace_back([&fleet, minion] {
          SleepMs(kDownMs);
          fleet.RestartMinion(minion);
        });
      }
    }
    if (SteadyMs() >= next_ask) {
      next_ask = SteadyMs() + 500;
      const Response answer = fleet.Ask("edge-1", "GET", "/scan/" + job);
      state = answer.status == 200 ? Json::parse(answer.body).value("state", std::string()) : "";
      if (state == "done" || state == "failed") {
        break;
      }
    }
  }
  for (std::thread& thread : returns) {
    thread.join();
  }
  record.Write("verdict: the job is shown as '" + state + "', its queue allows 4 attempts, and no run has ended 'failed'");
  return state == "done" ? kHeld : state == "failed" ? kBroken : kCouldNotRun;
}

}  // namespace

int main() { _exit(Run()); }
