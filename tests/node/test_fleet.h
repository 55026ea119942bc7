/// A small single-threaded fleet: a clock, a store, four workers in two zones, a few nodes.
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
/// TestBundleText() without the worker "a2".
std::string SmallerBundleText();

/// A job of the workspace "bakeries" whose tasks run for two seconds.
JobSpec SpecOf(const std::string& key, int tasks, int accelerators_per_task);

class TestFleet {
 public:
  explicit TestFleet(int nodes);

  TestNode& node(int index) { return *m_nodes.at(static_cast<std::size_t>(index)); }
  int size() const { return static_cast<int>(m_nodes.size()); }
  ManualClock& clock() { return m_clock; }
  MemoryStore& store() { return m_store; }
  FakeWorkerPool& worker_pool() { return m_worker_pool; }

  /// Restarts the process of a node with empty memory.
  void Crash(int index);
  /// Makes every node take exactly these nodes for live.
  void SetLive(const std::vector<int>& indices);

  /// Ends all faults, brings all zones back and makes all nodes live.
  void ClearFaults();

  /// Sends a heartbeat from every node to every other, except for isolated nodes.
  void ExchangeHeartbeats();
  /// Stops all heartbeats to and from a node.
  void Isolate(int index) { m_isolated.insert(index); }
  void EndIsolation(int index) { m_isolated.erase(index); }

  /// Runs cycles of all nodes and heartbeats for `time`, advancing the clock after each cycle.
  void Run(Milliseconds time);
  /// As Run(), for one node and without heartbeats.
  void RunNode(int index, Milliseconds time);

  /// Submits a job through node 0, which must accept it.
  JobId Submit(const JobSpec& spec);
  /// Reads a job from the store, which must hold it.
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
