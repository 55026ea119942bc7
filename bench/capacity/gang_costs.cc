#include "capacity/gang_costs.h"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <vector>

#include "capacity/cost_meter.h"
#include "capacity/target_fleet.h"
#include "libraries/base/boot_clock.h"
#include "libraries/model/bundle_file.h"
#include "libraries/model/keys.h"
#include "libraries/node/gang_finish.h"
#include "libraries/node/gang_start.h"
#include "libraries/node/job_manager.h"
#include "libraries/store/etcd_gateway_client.h"
#include "libraries/worker/http_worker_gateway.h"
#include "stand_ins/platform/platform_stand_in.h"
#include "stand_ins/worker/worker_stand_in.h"

namespace papayalift {

namespace {

constexpr Milliseconds kLimit{2'000};
constexpr int kTasks = 4;

/// Forwards to a store and counts the operations.
class CountingStore final : public KeyValueService {
 public:
  explicit CountingStore(KeyValueService& store) : m_store(store) {}

  absl::StatusOr<RangeAnswer> Range(const KeyRange& range) override {
    ++m_reads;
    return m_store.Range(range);
  }
  absl::StatusOr<std::vector<RangeAnswer>> RangeAll(const std::vector<KeyRange>& ranges) override {
    ++m_reads;
    return m_store.RangeAll(ranges);
  }
  TransactionOutcome Commit(const Transaction& transaction) override {
    ++m_writes;
    for (const Write& write : transaction.writes()) {
      m_bytes += static_cast<double>(write.key.size() + write.value.size());
      m_events += write.key.starts_with(keys::kRoot) ? 1 : 0;
    }
    return m_store.Commit(transaction);
  }
  absl::Status Watch(const KeyRange& range, Revision start, const WatchSink& sink) override {
    return m_store.Watch(range, start, sink);
  }

  double reads() const { return m_reads; }
  double writes() const { return m_writes; }
  double bytes() const { return m_bytes; }
  double events() const { return m_events; }

 private:
  KeyValueService& m_store;
  double m_reads = 0;
  double m_writes = 0;
  double m_bytes = 0;
  double m_events = 0;
};

/// A platform stand-in, four worker stand-ins and the components of a node, connected over
/// loopback.
class GangBench {
 public:
  GangBench()
      : m_platform(*PlatformStandIn::Create("127.0.0.1", 0)),
        m_client(std::make_shared<HttpClient>()),
        m_gateway(fmt::format("127.0.0.1:{}", m_platform->port()), kLimit, m_client),
        m_store(m_gateway),
        m_workers(kLimit, m_client),
        m_view(m_clock, m_store, kLimit),
        m_audit(m_clock, NodeId("node")),
        m_context{m_clock, m_store, m_workers, m_view, m_audit, m_metrics, kLimit, kLimit},
        m_job_manager(m_clock, m_store, m_state, m_audit) {
    BundleInForce bundle;
    bundle.version = BundleVersion(1);
    bundle.bundle = *ParseBundle(MakeBundleText(TargetSize{}), "target");
    m_state.SetBundle(std::make_shared<const BundleInForce>(std::move(bundle)));
    for (int index = 0; index < kTasks; ++index) {
      m_stand_ins.push_back(*WorkerStandIn::Create("127.0.0.1", 0, AcceleratorCount(1)));
    }
  }

  void RunOne() {
    const SubmitResult submitted = *m_job_manager.Submit(MakeJobRecord(0).spec);
    const RangeAnswer read = *m_gateway.Range(SingleKey(keys::JobKey(submitted.job.id)));
    StartPlan plan;
    plan.job = Versioned<JobRecord>{submitted.job, read.records.front().modified};
    plan.placement = MakePlacementRecord(0, kTasks);
    plan.placement.phase = PlacementPhase::kReserved;
    plan.sequencer = std::make_shared<ReservationSequencer>(std::map<ZoneId, Revision>());
    for (int index = 0; index < kTasks; ++index) {
      const std::string address =
          fmt::format("127.0.0.1:{}", m_stand_ins[static_cast<std::size_t>(index)]->port());
      plan.shares.push_back(WorkerShare{
          WorkerTarget{plan.placement.tasks[static_cast<std::size_t>(index)].worker, address},
          {AcceleratorSet(1)}});
    }
    Drive(GangStart::Create(m_context, plan));
    Drive(GangFinish::Create(m_context, plan.placement.job, plan.placement.zone,
                             plan.placement.attempt_id));
  }

  const CountingStore& store() const { return m_store; }

 private:
  static void Drive(const std::shared_ptr<GangSession>& session) {
    while (session->Step().kind == StepKind::kAgain) {
    }
  }

  BootClock m_clock;
  Metrics m_metrics;
  FleetState m_state;
  const std::unique_ptr<PlatformStandIn> m_platform;
  const std::shared_ptr<HttpClient> m_client;
  EtcdGatewayClient m_gateway;
  CountingStore m_store;
  HttpWorkerGateway m_workers;
  ViewGuard m_view;
  AuditWriter m_audit;
  const GangContext m_context;
  JobManager m_job_manager;
  std::vector<std::unique_ptr<WorkerStandIn>> m_stand_ins;
};

}  // namespace

GangCosts MeasureGangCosts() {
  constexpr int kRounds = 20;
  GangCosts costs;
  double microseconds = 0;
  for (int round = 0; round < kRounds; ++round) {
    GangBench bench;
    microseconds += SingleRunMicroseconds([&bench] { bench.RunOne(); });
    costs.store_writes = bench.store().writes();
    costs.store_reads = bench.store().reads();
    costs.store_writes_bytes = bench.store().bytes();
    costs.watch_events = bench.store().events();
  }
  costs.steps_us = microseconds / kRounds;
  return costs;
}

}  // namespace papayalift
