/// Planned work only: minions are restarted in turn, each under its id. The nodes are left alone.
#include "../lib-3/stand_in.hpp"

namespace {

using namespace stand_in;

constexpr int kMinions = 16;
constexpr int kRounds = 4;
constexpr int kWorkMs = 6'000;
/// From the start of the task until its minion is told to leave.
constexpr int kNoticeAfterMs = 1'000;
/// From the end of a minion until it is up again.
constexpr int kUpAfterMs = 1'000;

/// The minion at which the job's start number `index` was carried out, counted from 0; empty if there is none.
std::string StartOf(Record& record, const std::string& job, int index) {
  int seen = 0;
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
    minion.rack = "r-" + std::to_string(number / 6);
    minion.work_ms = kWorkMs;
    fleet.StartMinion(minion);
  }
  for (const char* const node : {"edge-1", "edge-2", "edge-3"}) {
    fleet.StartEdge(node);
  }
  for (const char* const node : {"edge-1", "edge-2", "edge-3"}) {
    if (!fleet.AwaitReady(node)) {
      return kCouldNotRun;
    }
  }
  if (fleet.AwaitLeader().empty()) {
    return kCouldNotRun;
  }
  SleepMs(2'000);
  const std::string job = "00000000000000a1";
  const std::string body =
      R"({"spec":"x","phases":[{"count":1,"cpu":4000,"memMb":1024,"gpu":2,"estimateMs":5000}]})";
  if (fleet.Ask("edge-1", "POST", "/scan/" + job, body).status != 200) {
    return kCouldNotRun;
  }
  for (int round = 0; HasTrouble() && round < kRounds; ++round) {
    std::string minion;
    for (const std::int64_t until = SteadyMs() + 20'000; minion.empty() && SteadyMs() < until; SleepMs(20)) {
      minion = StartOf(record, job, round);
    }
    if (minion.empty()) {
      break;
    }
    SleepMs(kNoticeAfterMs);
    fleet.DrainMinion(minion);
    SleepMs(kUpAfterMs);
    fleet.RestartMinion(minion);
  }
  std::string state;
  for (const std::int64_t until = SteadyMs() + 30'000; SteadyMs() < until; SleepMs(500)) {
    const Response answer = fleet.Ask("edge-1", "GET", "/scan/" + job);
    state = answer.status == 200 ? Json::parse(answer.body).value("state", std::string()) : "";
    if (state == "done" || state == "failed") {
      break;
    }
  }
  record.Write("verdict: the job is shown as '" + state +
               "'; its queue allows 4 attempts, no run has ended 'failed', and no minion has crashed");
  return state == "done" ? kHeld : state == "failed" ? kBroken : kCouldNotRun;
}

}  // namespace

int main() { _exit(Run()); }
