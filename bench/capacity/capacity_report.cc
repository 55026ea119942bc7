/// Measures unit costs and extrapolates them to the target size. Prints the tables of
/// docs/CAPACITY.md.
#include <fmt/format.h>

#include <string>

#include "capacity/cost_meter.h"
#include "capacity/gang_costs.h"
#include "capacity/state_costs.h"
#include "capacity/target_size.h"
#include "capacity/wire_costs.h"
#include "libraries/log/json_log_sink.h"

namespace papayalift {

namespace {

constexpr double kRenewalSeconds = 3;
constexpr double kPassSeconds = 1;
constexpr double kTasksPerGang = 4;
constexpr double kPercent = 100;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMegabyte = 1024.0 * 1024;
constexpr double kKilobyte = 1024.0;

struct Measured {
  /// Resident memory of the process before it holds any state.
  double base_memory = 0;
  StateCosts state;
  WireCosts wire;
  GangCosts gang;
};

void Row(const std::string& what, double value, const std::string& unit) {
  fmt::print("| {} | {:.1f} | {} |\n", what, value, unit);
}

void PrintMeasurements(const Measured& measured) {
  const StateCosts& state = measured.state;
  const WireCosts& wire = measured.wire;
  const GangCosts& gang = measured.gang;
  fmt::print("| measured | value | unit |\n| --- | ---: | --- |\n");
  Row("job record", state.job_record_bytes, "bytes in the store");
  Row("placement record of one task", state.placement_record_bytes, "bytes in the store");
  Row("placement record, each further task", state.placement_bytes_per_task, "bytes");
  Row("bundle of the target", state.bundle_bytes, "bytes");
  Row("bundle of the target, parsing", state.bundle_parse_us, "us");
  Row("a node's copy: each ended job kept", state.heap_per_ended_job, "heap bytes");
  Row("a node's copy: each running gang of 4", state.heap_per_gang, "heap bytes");
  Row("a node's copy: the bundle", state.heap_of_bundle, "heap bytes");
  Row("a node's copy of the whole target", state.heap_at_target / kMegabyte, "MB heap");
  Row("one change applied and viewed, at the target", state.change_us, "us");
  Row("one pass, nothing waits, at the target", state.pass_us_idle, "us");
  Row("one pass, each waiting gang of 64 that does not fit", state.pass_us_per_waiting, "us");
  Row("a renewal, one attempt", wire.renewal_bytes, "bytes, both ways");
  Row("a renewal, each further attempt", wire.renewal_bytes_per_attempt, "bytes");
  Row("a renewal, node's side", wire.renewal_us, "us");
  Row("a transaction, node's side", wire.transaction_us, "us");
  Row("a read, node's side", wire.range_us, "us");
  Row("a changed job on a watch", wire.watch_event_bytes, "bytes");
  Row("a changed job on a watch, decoding", wire.watch_event_us, "us");
  Row("a job's life: writes", gang.store_writes, "transactions");
  Row("a job's life: reads", gang.store_reads, "calls");
  Row("a job's life: written", gang.store_writes_bytes, "bytes");
  Row("a job's life: changes on every watch", gang.watch_events, "events");
  Row("a job's life: steps of a gang of 4", gang.steps_us, "us");
}

/// Resource use of one entry node.
struct NodeLoad {
  double core_share = 0;
  double memory_bytes = 0;
  double bytes_per_second = 0;
};

NodeLoad LoadOf(const Measured& measured, const TargetSize& size) {
  const double jobs_per_second = size.jobs_per_day / kSecondsPerDay;
  const double changes_per_second = size.configuration_changes_per_day / kSecondsPerDay;
  const double renewals =
      static_cast<double>(size.gangs()) * kTasksPerGang / kRenewalSeconds / size.entry_nodes;
  const double events = jobs_per_second * measured.gang.watch_events;
  NodeLoad load;
  const double microseconds =
      renewals * measured.wire.renewal_us + events * measured.wire.watch_event_us +
      events * measured.state.change_us + measured.state.pass_us_idle / kPassSeconds +
      jobs_per_second / size.entry_nodes * measured.gang.steps_us +
      changes_per_second * measured.state.bundle_parse_us;
  load.core_share = microseconds / kMicrosecondsPerSecond;
  load.memory_bytes = measured.base_memory + measured.state.heap_at_target;
  load.bytes_per_second = renewals * measured.wire.renewal_bytes +
                          events * measured.wire.watch_event_bytes +
                          changes_per_second * measured.state.bundle_bytes;
  return load;
}

std::string LimitStatus(double value, double limit) { return value <= limit ? "held" : "MISSED"; }

/// "0.29 % of a core, held | 24.9 MB, held | 10.4 KB/s, held"
std::string LoadCells(const NodeLoad& load) {
  const NodeLimits limits;
  return fmt::format(
      "{:.2f} % of a core, {} | {:.1f} MB, {} | {:.1f} KB/s, {}", load.core_share * kPercent,
      LimitStatus(load.core_share, limits.core_share), load.memory_bytes / kMegabyte,
      LimitStatus(load.memory_bytes, limits.memory_bytes), load.bytes_per_second / kKilobyte,
      LimitStatus(load.bytes_per_second, limits.bytes_per_second));
}

void PrintNode(const Measured& measured, TargetSize size, int nodes) {
  size.entry_nodes = nodes;
  fmt::print("| entry node of {} | {} |\n", nodes, LoadCells(LoadOf(measured, size)));
}

void PrintWorker(const Measured& measured) {
  constexpr double kGangsPerWorker = 2;
  const double bytes = kGangsPerWorker / kRenewalSeconds * measured.wire.renewal_bytes;
  fmt::print("| worker, 2 gangs | not ours | not ours | {:.1f} KB/s, {} |\n", bytes / kKilobyte,
             LimitStatus(bytes, NodeLimits{}.bytes_per_second));
}

/// Scales the load, except for the number of zones and nodes, by `factor`; the state costs are
/// measured at the scaled size.
void PrintScaled(const Measured& at_target, double factor) {
  const auto scaled = [factor](int count) { return static_cast<int>(count * factor); };
  TargetSize size;
  size.workers = scaled(size.workers);
  size.accelerators = scaled(size.accelerators);
  size.jobs_per_day = scaled(size.jobs_per_day);
  size.workspaces = scaled(size.workspaces);
  size.configuration_changes_per_day = scaled(size.configuration_changes_per_day);
  Measured measured = at_target;
  measured.state = MeasureStateCosts(size);
  fmt::print("| {:.1f} times the target, 21 nodes | {} |\n", factor,
             LoadCells(LoadOf(measured, size)));
}

/// Marginal cost of each dimension of the load for one entry node: doubles its count and divides
/// the difference by the added units.
void PrintPerUnit(const Measured& measured) {
  struct Unit {
    const char* name;
    int TargetSize::*count;
    int step;
  };
  static constexpr Unit kUnits[] = {
      {"100 workers", &TargetSize::workers, 100},
      {"100 accelerators held by gangs of 4", &TargetSize::accelerators, 100},
      {"100 jobs a day", &TargetSize::jobs_per_day, 100},
      {"10 workspaces", &TargetSize::workspaces, 10},
      {"1 zone", &TargetSize::zones, 1},
      {"100 configuration changes a day", &TargetSize::configuration_changes_per_day, 100},
      {"1 entry node", &TargetSize::entry_nodes, 1},
  };
  fmt::print(
      "\n| one entry node of 21, for each | us a second | KB | bytes a second |\n"
      "| --- | ---: | ---: | ---: |\n");
  for (const Unit& unit : kUnits) {
    TargetSize doubled;
    const double share = static_cast<double>(unit.step) / (doubled.*unit.count);
    doubled.*unit.count *= 2;
    Measured before = measured;
    before.state = MeasureStateCosts(TargetSize{});
    Measured after = measured;
    after.state = MeasureStateCosts(doubled);
    const NodeLoad one = LoadOf(before, TargetSize{});
    const NodeLoad two = LoadOf(after, doubled);
    fmt::print("| {} | {:+.1f} | {:+.1f} | {:+.1f} |\n", unit.name,
               (two.core_share - one.core_share) * kMicrosecondsPerSecond * share,
               (two.memory_bytes - one.memory_bytes) / kKilobyte * share,
               (two.bytes_per_second - one.bytes_per_second) * share);
  }
}

void PrintStore(const Measured& measured, const TargetSize& size) {
  const StoreLimits limits;
  const double jobs = size.jobs_per_day / kSecondsPerDay;
  const double changes = size.configuration_changes_per_day / kSecondsPerDay;
  constexpr double kWritesPerChange = 3;
  const double writes = jobs * measured.gang.store_writes + changes * kWritesPerChange;
  const double reads = jobs * measured.gang.store_reads +
                       changes * (kWritesPerChange + size.entry_nodes) + size.entry_nodes;
  const double bytes = size.jobs_per_day * size.days_kept * measured.state.job_record_bytes +
                       size.jobs_per_day * size.audit_days_kept * measured.gang.store_writes_bytes +
                       size.bundles_kept * measured.state.bundle_bytes;
  fmt::print(
      "\n| key-value service | a second | limit | |\n| --- | ---: | ---: | --- |\n"
      "| writes | {:.3f} | {:.0f} | {} |\n| reads, waiting watches counted | {:.2f} | {:.0f} | {} |"
      "\n| kept: jobs of {} days, audit, newest bundles | {:.0f} MB | | |\n",
      writes, limits.writes_per_second, LimitStatus(writes, limits.writes_per_second), reads,
      limits.reads_per_second, LimitStatus(reads, limits.reads_per_second), size.days_kept,
      bytes / kMegabyte);
}

}  // namespace

}  // namespace papayalift

int main() {
  papayalift::InstallJsonLogSink(papayalift::LogLevel::kError);
  const papayalift::TargetSize size;
  papayalift::Measured measured;
  measured.base_memory = papayalift::ResidentBytes();
  measured.state = papayalift::MeasureStateCosts(size);
  measured.wire = papayalift::MeasureWireCosts();
  measured.gang = papayalift::MeasureGangCosts();
  papayalift::PrintMeasurements(measured);
  fmt::print(
      "\n| role at the target | processor | memory | traffic |\n| --- | --- | --- | --- |\n");
  constexpr int kNodesToday = 7;
  papayalift::PrintNode(measured, size, kNodesToday);
  papayalift::PrintNode(measured, size, size.entry_nodes);
  papayalift::PrintWorker(measured);
  for (const double factor : {0.5, 2.0, 4.0, 8.0}) {
    papayalift::PrintScaled(measured, factor);
  }
  papayalift::PrintStore(measured, size);
  papayalift::PrintPerUnit(measured);
  return 0;
}
