#include "leader/test_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/log/json_log_sink.h"

namespace papayalift {

namespace {

constexpr Resources kMinionCapacity{8'000, 8'000, 8};
constexpr Milliseconds kMaxReplyWait{4'000};

}  // namespace

ClusterNode::ClusterNode(VirtualTimers& timers, FleetStore& store, FleetMinions& minions,
                         const std::string& name, const LeaderSettings& settings)
    : m_timers(timers),
      m_process_timers(timers),
      m_settings(settings),
      m_store(m_process_timers, store),
      m_minions(m_process_timers, minions),
      m_view(m_process_timers, m_store, m_schema),
      m_election(m_process_timers, m_store, ElectionSettings{.node = name},
                 ElectionCallbacks{[this](Term term) {
                                     m_session = LeaderSession::Create(
                                         LeaderContext{m_process_timers, m_store, m_minions,
                                                       m_schema, m_view, m_election, m_metrics},
                                         m_settings, term);
                                     m_session->Start();
                                   },
                                   [this](const std::string&) {
                                     m_session->Close();
                                     m_process_timers.After(Milliseconds(0),
                                                            [session = std::move(m_session)] {});
                                   }}),
      m_request_handler(m_process_timers, m_store, m_schema, m_view, m_metrics) {
  m_election.Start();
}

ClusterNode::~ClusterNode() = default;

void ClusterNode::Freeze() {
  m_process_timers.Freeze();
  m_minions.Freeze();
}

void ClusterNode::Thaw() {
  m_process_timers.Thaw();
  m_minions.Thaw();
}

void ClusterNode::SlowDown(Milliseconds callback_time) {
  m_process_timers.SetCallbackTime(callback_time);
  m_minions.SetDelivery([this](std::function<void()> answer) {
    m_process_timers.RunInTurn(Urgency::kNormal, std::move(answer));
  });
  m_store.SetDelivery(m_timers, [this](std::function<void()> answer) {
    m_process_timers.RunInTurn(Urgency::kUrgent, std::move(answer));
  });
}

JobReply ClusterNode::Ask(JobRequestKind kind, const std::string& path, const std::string& key,
                          const std::string& body) {
  const std::shared_ptr<std::optional<JobReply>> answer =
      std::make_shared<std::optional<JobReply>>();
  JobRequest request;
  request.kind = kind;
  request.host = "host";
  request.path = path;
  request.key = key;
  request.body = body;
  m_request_handler.Handle(request, [answer](const JobReply& reply) { *answer = reply; });
  constexpr Milliseconds kStep{1};
  for (Milliseconds waited{0}; !answer->has_value() && waited < kMaxReplyWait; waited += kStep) {
    m_timers.Run(kStep);
  }
  return answer->value_or(JobReply{JobReplyKind::kUnclear, JobId()});
}

TestCluster::TestCluster(int nodes, int minion_count, const LeaderSettings& settings)
    : m_settings(settings) {
  DisableLogging();
  PutManifest(1);
  for (int number = 0; number < minion_count; ++number) {
    minions.Add(MinionId(fmt::format("m{}", number)), RackId(fmt::format("r{}", number / 2)),
                kMinionCapacity);
  }
  for (int index = 0; index < nodes; ++index) {
    m_nodes.push_back(MakeNode(static_cast<std::size_t>(index)));
  }
  Run(Milliseconds(500));
}

std::unique_ptr<ClusterNode> TestCluster::MakeNode(std::size_t index) {
  return std::make_unique<ClusterNode>(timers, store, minions, fmt::format("node-{}", index),
                                       m_settings);
}

void TestCluster::RunWithHeartbeats(Milliseconds time, Milliseconds interval) {
  for (Milliseconds passed{0}; passed < time; passed += interval) {
    minions.SendHeartbeats();
    Run(std::min(interval, time - passed));
  }
}

void TestCluster::Kill(std::size_t index) {
  m_nodes[index]->store().Detach();
  if (m_nodes[index]->election().is_leader()) {
    // NOTE: Close() simulates the end of the process: the session's timers have no effect any more.
    const_cast<LeaderSession*>(m_nodes[index]->session())->Close();
  }
  m_killed.push_back(std::move(m_nodes[index]));
}

void TestCluster::Restart(std::size_t index) { m_nodes[index] = MakeNode(index); }

std::size_t TestCluster::leader_index() {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    if (m_nodes[index] != nullptr && m_nodes[index]->election().is_leader()) {
      return index;
    }
  }
  return m_nodes.size();
}

ClusterNode* TestCluster::leader() {
  const std::size_t index = leader_index();
  return index == m_nodes.size() ? nullptr : m_nodes[index].get();
}

void TestCluster::PutManifest(int version, const std::string& key) {
  PutManifestOf(
      version,
      Json::array({{{"name", "shop"}, {"apiKeys", {key}}, {"guaranteed", {{"gpu", 16}}}}}));
}

void TestCluster::PutManifestOfTwoWorkspaces(int version) {
  PutManifestOf(
      version,
      Json::array({{{"name", "shop"}, {"apiKeys", {"key"}}, {"guaranteed", {{"gpu", 16}}}},
                   {{"name", "yard"}, {"apiKeys", {"other"}}, {"guaranteed", {{"gpu", 16}}}}}));
}

void TestCluster::PutManifestWithQuota(int version, std::int64_t accelerators) {
  PutManifestOf(version, Json::array({{{"name", "shop"},
                                       {"apiKeys", {"key"}},
                                       {"guaranteed", {{"gpu", 8}}},
                                       {"maxCount", {{"gpu", accelerators}}}}}));
}

void TestCluster::PutManifestOf(int version, const Json& workspaces) {
  nlohmann::json manifest{{"version", version}, {"routes", nlohmann::json::array()}};
  for (int priority = 0; priority < 3; ++priority) {
    manifest["routes"].push_back({{"name", fmt::format("q{}", priority)},
                                  {"host", "host"},
                                  {"prefix", fmt::format("/p{}/", priority)},
                                  {"service", "pool"},
                                  {"priority", priority},
                                  {"maxAttempts", 3},
                                  {"slackFactor", 3.0},
                                  {"targetLatencyMs", 1'000}});
  }
  manifest["tenants"] = workspaces;
  store.Put("op/config", manifest.dump());
}

JobReply TestCluster::Submit(const JobId& id, const RegisteredJob& job, Priority priority) {
  minions.RegisterJob(id, job);
  for (const std::unique_ptr<ClusterNode>& node : m_nodes) {
    if (node != nullptr) {
      return node->Ask(JobRequestKind::kSubmit, fmt::format("/p{}/{}", priority.value(), id.text()),
                       "key", EncodeJobBody(job.work));
    }
  }
  return JobReply{};
}

WorkState TestCluster::StateOf(const JobId& id) {
  for (const std::unique_ptr<ClusterNode>& node : m_nodes) {
    if (node != nullptr) {
      return node->Ask(JobRequestKind::kQuery, "/p1/" + id.text(), "key").state;
    }
  }
  return WorkState::kQueued;
}

JobId MakeJobId(int number) { return JobId(fmt::format("{:016x}", number)); }

StepSpec MakeStep(int count, std::int64_t accelerators) {
  StepSpec step;
  step.count = count;
  step.needs = Resources{500, 500, accelerators};
  step.estimate = Milliseconds(1'000);
  return step;
}

std::string EncodeJobBody(const WorkSpec& work) {
  nlohmann::json body{{"spec", work.payload}, {"phases", nlohmann::json::array()}};
  for (const StepSpec& step : work.steps) {
    nlohmann::json phase{{"count", step.count},
                         {"cpu", step.needs.cpu_milli},
                         {"memMb", step.needs.memory_mb},
                         {"gpu", step.needs.accelerators},
                         {"estimateMs", step.estimate.count()},
                         {"gang", step.kind == WorkStepKind::kGang},
                         {"rackLocal", step.prefers_one_rack},
                         {"affinity", step.data_rack.text()},
                         {"after", step.after},
                         {"constraints", step.required_label},
                         {"antiAffinity", step.max_tasks_per_worker}};
    body["phases"].push_back(phase);
  }
  return body.dump();
}

}  // namespace papayalift
