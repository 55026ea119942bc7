#include "node/test_fleet.h"

#include <fmt/format.h>

#include <boost/log/core.hpp>

#include "libraries/model/bundle_codec.h"
#include "libraries/model/bundle_file.h"
#include "libraries/model/job_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/placement_codec.h"
#include "libraries/model/zone_codec.h"

namespace papayalift {

namespace {

constexpr Milliseconds kCycleInterval{250};

std::string WorkerBundleText(const std::string& name, const std::string& zone, int port) {
  return fmt::format(
      "[[worker]]\nname = \"{}\"\nzone = \"{}\"\nrack = \"r-{}\"\naddress = \"127.0.0.1:{}\"\n"
      "accelerators = 4\n",
      name, zone, zone, port);
}

std::string BundleHeaderText() {
  return "[policy]\nname = \"papaya\"\naccept_guarantees_lost_with_a_zone = true\n"
         "[[zone]]\nname = \"a\"\n[[zone]]\nname = \"b\"\n"
         "[[workspace]]\nname = \"bakeries\"\nquota = 64\n";
}

}  // namespace

std::string TestBundleText() {
  return BundleHeaderText() + WorkerBundleText("a1", "a", 24401) +
         WorkerBundleText("a2", "a", 24402) + WorkerBundleText("b1", "b", 24403) +
         WorkerBundleText("b2", "b", 24404);
}

std::string SmallerBundleText() {
  return BundleHeaderText() + WorkerBundleText("a1", "a", 24401) +
         WorkerBundleText("b1", "b", 24403) + WorkerBundleText("b2", "b", 24404);
}

JobSpec SpecOf(const std::string& key, int tasks, int accelerators_per_task) {
  JobSpec spec;
  spec.workspace = WorkspaceId("bakeries");
  spec.key = CallerKey(key);
  spec.shape = Shape{TaskCount(tasks), AcceleratorCount(accelerators_per_task)};
  spec.payload = "run 2s";
  return spec;
}

TestFleet::TestFleet(int nodes)
    : m_worker_pool(m_clock, ParseBundle(TestBundleText(), "test bundle")->workers) {
  boost::log::core::get()->set_logging_enabled(false);
  m_clock.Advance(Milliseconds(1'000'000));
  std::vector<int> all;
  for (int index = 0; index < nodes; ++index) {
    m_nodes.push_back(NewNode(index));
    all.push_back(index);
  }
  SetLive(all);
  Roll(TestBundleText());
  for (const std::unique_ptr<TestNode>& node : m_nodes) {
    node->Register().IgnoreError();
  }
  for (const std::unique_ptr<TestNode>& node : m_nodes) {
    node->Follow();
  }
  ExchangeHeartbeats();
}

NodeId TestFleet::IdOf(int index) const { return NodeId(fmt::format("n{}", index)); }

std::unique_ptr<TestNode> TestFleet::NewNode(int index) {
  return std::make_unique<TestNode>(IdOf(index), std::to_string(++m_incarnations), m_clock, m_store,
                                    m_worker_pool);
}

void TestFleet::Crash(int index) {
  std::unique_ptr<TestNode>& node = m_nodes.at(static_cast<std::size_t>(index));
  const std::vector<NodeId> live = node->membership().LiveNodes(FleetView{});
  node.reset();
  node = NewNode(index);
  node->membership().SetLive(live);
  node->Register().IgnoreError();
}

void TestFleet::SetLive(const std::vector<int>& indices) {
  std::vector<NodeId> live;
  live.reserve(indices.size());
  for (const int index : indices) {
    live.push_back(IdOf(index));
  }
  for (const std::unique_ptr<TestNode>& node : m_nodes) {
    node->membership().SetLive(live);
  }
}

void TestFleet::ClearFaults() {
  std::vector<int> all;
  for (int index = 0; index < size(); ++index) {
    node(index).store().ClearFaults();
    node(index).workers().ClearFaults();
    all.push_back(index);
  }
  SetLive(all);
  m_isolated.clear();
  m_worker_pool.DeliverDelayed();
  node(0).Follow();
  ChangeZone("a", ZoneState::kIn);
  ChangeZone("b", ZoneState::kIn);
}

void TestFleet::ExchangeHeartbeats() {
  for (int from = 0; from < size(); ++from) {
    for (int to = 0; to < size(); ++to) {
      const bool heard = from != to && !m_isolated.contains(from) && !m_isolated.contains(to);
      if (heard) {
        node(to).membership().OnHeartbeat(node(from).membership().ComposeHeartbeat(node(to).id()));
      }
    }
  }
}

void TestFleet::Run(Milliseconds time) {
  for (Milliseconds elapsed{0}; elapsed < time; elapsed += kCycleInterval) {
    for (const std::unique_ptr<TestNode>& node : m_nodes) {
      node->RunCycle();
    }
    ExchangeHeartbeats();
    m_clock.Advance(kCycleInterval);
  }
}

void TestFleet::RunNode(int index, Milliseconds time) {
  for (Milliseconds elapsed{0}; elapsed < time; elapsed += kCycleInterval) {
    node(index).RunCycle();
    m_clock.Advance(kCycleInterval);
  }
}

JobId TestFleet::Submit(const JobSpec& spec) { return node(0).jobs().Submit(spec).value().job.id; }

JobRecord TestFleet::Job(const JobId& id) {
  const RangeAnswer answer = m_store.Range(SingleKey(keys::JobKey(id))).value();
  return DecodeJob(answer.records.at(0).value).value();
}

std::vector<PlacementRecord> TestFleet::Placements() {
  std::vector<PlacementRecord> placements;
  const RangeAnswer answer = m_store.Range(KeysWithPrefix(keys::kPlacements)).value();
  for (const KeyValue& record : answer.records) {
    placements.push_back(DecodePlacement(record.value).value());
  }
  return placements;
}

ZoneTable TestFleet::Zones() {
  const RangeAnswer answer = m_store.Range(SingleKey(keys::kZones)).value();
  return answer.records.empty() ? ZoneTable{}
                                : DecodeZoneTable(answer.records.front().value).value();
}

BundleVersion TestFleet::RolledVersion() {
  const RangeAnswer answer = m_store.Range(SingleKey(keys::kCurrentBundle)).value();
  return DecodeCurrentBundle(answer.records.at(0).value)->version;
}

void TestFleet::ChangeZone(const std::string& zone, ZoneState state) {
  const ZoneChange change{ZoneId(zone), state, OperatorId("op"), "test"};
  node(0).zones().Change(change).value();
}

void TestFleet::Roll(const std::string& text) {
  BundleManager& manager = node(0).bundles();
  const OperatorId actor("op");
  const BundleVersion seen = manager.Current()->version;
  const BundleRecord draft = manager.Submit(text, actor).value();
  manager.SignOff(draft.version, draft.digest, actor).value();
  manager.Roll(draft.version, seen, actor).value();
}

}  // namespace papayalift
