/// A small fleet in one thread: a clock, a store, four workers in two zones, a few nodes.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/manual_clock.h"
#include "node/test_node.h"

namespace papayalift {

/// The bundle of every test fleet: zones "a" and "b", each with two workers of four accelerators,
/// and a workspace "bakeries" that may hold all of them.
std::string TestBundleText();
/// The same without the worker "a2".
std::string SmallerBundleText();

/// A job of the workspace "bakeries" whose tasks take two seconds.
JobSpec SpecOf(const std::string& key, int tasks, int accelerators_per_task);

class TestFleet {
 public:
  explicit TestFleet(int nodes);

  TestNode& node(int index) { return *m_nodes.at(static_cast<std::size_t>(index)); }
  int size() const { return static_cast<int>(m_nodes.size()); }
  ManualClock& clock() { return m_clock; }
  MemoryStore& store() { return m_store; }
  FakeWorkerPool& worker_pool() { return m_worker_pool; }

  /// The process at `index` dies and starts again with empty memory.
  void Crash(int index);
  /// Every node takes exactly these for alive.
  void SetLive(const std::vector<int>& indices);

  /// Ends all faults; every zone is back and all nodes know of each other.
  void ClearFaults();

  /// Every node hears every other, but for those that are silenced.
  void ExchangeHeartbeats();
  /// A node that is silenced hears nobody and is heard by nobody.
  void Isolate(int index) { m_isolated.insert(index); }
  void EndIsolation(int index) { m_isolated.erase(index); }

  /// Turns of all nodes with time going on in between.
  void Run(Milliseconds time);
  /// As Run(), with one node only.
  void RunNode(int index, Milliseconds time);

  /// Submits through node 0, which must accept.
  JobId Submit(const JobSpec& spec);
  /// As the store has it; the job must be there.
  JobRecord Job(const JobId& id);
  std::vector<PlacementRecord> Placements();
  ZoneTable Zones();
  BundleVersion RolledVersion();
  void ChangeZone(const std::string& zone, ZoneState state);
  /// Submits, signs off and rolls a bundle through node 0.
  void Roll(const std::string& text);

 private:
  NodeId IdOf(int index) const;
  std::unique_ptr<TestNode> NewNode(int index);

  ManualClock m_clock;
  MemoryStore m_store;
  FakeWorkerPool m_worker_pool;
  int m_incarnations = 0;
  std::vector<std::unique_ptr<TestNode>> m_nodes;
  std::set<int> m_isolated;
};

}  // namespace papayalift
