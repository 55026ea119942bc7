/// Some nodes with their store and minions, in virtual time.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "leader/fake_minion_port.h"
#include "leader/fake_store_port.h"
#include "leader/virtual_timers.h"
#include "libraries/job_requests/job_request_handler.h"
#include "libraries/leader/leader_session.h"
#include "libraries/model/json_document.h"
#include "platform/platform_directory.h"

namespace papayalift {

/// One node: front desk, election and, while it leads, a session.
class OfficeNode {
 public:
  OfficeNode(VirtualTimers& timers, FleetStore& store, FleetMinions& minions,
             const std::string& name);
  ~OfficeNode();

  FakeStorePort& store() { return m_store; }
  LeaderElection& election() { return m_election; }
  ManifestView& view() { return m_view; }
  const LeaderSession* session() const { return m_session.get(); }

  /// Asks, and runs the clock until the answer is there.
  JobReply Ask(JobRequestKind kind, const std::string& path, const std::string& key,
               const std::string& body = "");

 private:
  VirtualTimers& m_timers;
  FakeStorePort m_store;
  FakeMinionPort m_minions;
  Metrics m_metrics;
  platform::PlatformDirectory m_directory;
  ManifestView m_view;
  LeaderElection m_election;
  JobRequestHandler m_request_handler;
  std::shared_ptr<LeaderSession> m_session;
};

class TestOffice {
 public:
  explicit TestOffice(int nodes = 1, int minions = 4);

  void Run(Milliseconds time) { timers.Run(time); }
  OfficeNode& node(std::size_t index) { return *m_nodes[index]; }
  /// The process ends without a word; what it had sent still arrives.
  void Kill(std::size_t index);
  /// A new process in the place of one that was killed.
  void Revive(std::size_t index);
  OfficeNode* leader();
  std::size_t leader_index();
  bool is_alive(std::size_t index) const { return m_nodes[index] != nullptr; }
  std::size_t size() const { return m_nodes.size(); }

  void PutManifest(int version, const std::string& key = "key");
  /// "shop" with key "key", and "yard" with key "other"; 16 accelerators are guaranteed to each.
  void PutManifestOfTwoWorkspaces(int version);
  /// Submits to the first living node; the queue's priority picks it. Returns the reply.
  JobReply Submit(const JobId& id, const KnownJob& job, Priority priority = Priority(1));
  WorkState StateOf(const JobId& id);

  VirtualTimers timers;
  FleetStore store{timers};
  FleetMinions minions{timers, store};

 private:
  void PutManifestOf(int version, const Json& workspaces);
  std::unique_ptr<OfficeNode> MakeNode(std::size_t index);

  std::vector<std::unique_ptr<OfficeNode>> m_nodes;
  /// Kept: timers of a killed process may still fire, and find it abandoned.
  std::vector<std::unique_ptr<OfficeNode>> m_killed;
};

/// "0000000000000007" for 7.
JobId NumberedJob(int number);
StepSpec StepOfTasks(int count, std::int64_t accelerators);
std::string BodyOf(const WorkSpec& work);

}  // namespace papayalift
