/// A test cluster of nodes, a store and minions in virtual time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "leader/fake_minion_port.h"
#include "leader/fake_store_port.h"
#include "leader/process_timers.h"
#include "leader/virtual_timers.h"
#include "libraries/job_requests/job_request_handler.h"
#include "libraries/leader/leader_session.h"
#include "libraries/model/json_document.h"
#include "platform/platform_schema.h"

namespace papayalift {

/// One node of the test cluster. It has a leader session while it leads.
class ClusterNode {
 public:
  ClusterNode(VirtualTimers& timers, FleetStore& store, FleetMinions& minions,
              const std::string& name, const LeaderSettings& settings);
  ~ClusterNode();

  FakeStorePort& store() { return m_store; }
  const FakeMinionPort& minions() const { return m_minions; }
  LeaderElection& election() { return m_election; }
  ManifestView& view() { return m_view; }
  JobRequestHandler& request_handler() { return m_request_handler; }
  const LeaderSession* session() const { return m_session.get(); }
  /// The process stands still until it is thawed, while all others go on.
  void Freeze();
  void Thaw();
  /// From now on the process is slow: each callback takes that long, and others wait meanwhile.
  void SlowDown(Milliseconds callback_time);

  /// Sends a request and advances the clock until the reply arrives; kUnclear after 4 seconds.
  JobReply Ask(JobRequestKind kind, const std::string& path, const std::string& key,
               const std::string& body = "");

 private:
  VirtualTimers& m_timers;
  ProcessTimers m_process_timers;
  const LeaderSettings m_settings;
  FakeStorePort m_store;
  FakeMinionPort m_minions;
  Metrics m_metrics;
  platform::PlatformSchema m_schema;
  ManifestView m_view;
  LeaderElection m_election;
  JobRequestHandler m_request_handler;
  std::shared_ptr<LeaderSession> m_session;
};

class TestCluster {
 public:
  explicit TestCluster(int nodes = 1, int minions = 4, const LeaderSettings& settings = {});

  void Run(Milliseconds time) { timers.Run(time); }
  /// Advances the time while every reachable minion writes a heartbeat each `interval`.
  void RunWithHeartbeats(Milliseconds time, Milliseconds interval);
  ClusterNode& node(std::size_t index) { return *m_nodes[index]; }
  /// Ends the node's process without a shutdown. Calls that it has sent still take effect.
  void Kill(std::size_t index);
  /// Starts a new process for a node that was killed.
  void Restart(std::size_t index);
  ClusterNode* leader();
  std::size_t leader_index();
  bool is_alive(std::size_t index) const { return m_nodes[index] != nullptr; }
  std::size_t size() const { return m_nodes.size(); }

  void PutManifest(int version, const std::string& key = "key");
  /// Workspace "shop" with key "key" and "yard" with key "other", each with 16 guaranteed
  /// accelerators.
  void PutManifestOfTwoWorkspaces(int version);
  /// Workspace "shop" with key "key", 8 guaranteed accelerators and a quota of them.
  void PutManifestWithQuota(int version, std::int64_t accelerators);
  /// Submits to the queue with the priority through the first live node.
  JobReply Submit(const JobId& id, const RegisteredJob& job, Priority priority = Priority(1));
  WorkState StateOf(const JobId& id);

  VirtualTimers timers;
  FleetStore store{timers};
  FleetMinions minions{timers, store};

 private:
  void PutManifestOf(int version, const Json& workspaces);
  std::unique_ptr<ClusterNode> MakeNode(std::size_t index);

  const LeaderSettings m_settings;
  std::vector<std::unique_ptr<ClusterNode>> m_nodes;
  /// Killed nodes are kept because their timers may still fire.
  std::vector<std::unique_ptr<ClusterNode>> m_killed;
};

/// The number as 16 hexadecimal digits.
JobId MakeJobId(int number);
StepSpec MakeStep(int count, std::int64_t accelerators);
std::string EncodeJobBody(const WorkSpec& work);

}  // namespace papayalift
