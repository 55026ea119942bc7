#include "libraries/soak/soak_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "libraries/base/try.h"
#include "libraries/http/async_http_client.h"
#include "libraries/log/log_event.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

/// Where the ports of proxies begin, above the stand-in's own.
constexpr int kStoreProxies = 100;
constexpr int kConsumerProxies = 200;
constexpr int kMinionProxies = 300;
constexpr int kConsumerPort = 1;
constexpr int kFirstNodeNumber = 10;
constexpr int kMostIdleConnections = 64;
constexpr Milliseconds kSettlePoll{200};
/// A fault may show in requests for this long after its end.
constexpr Milliseconds kAftermath{4'000};
/// A node that was told to stop takes requests for at least this long.
constexpr Milliseconds kStopTakesRequests{2'000};
/// What a stopping node is given until it is killed.
constexpr Milliseconds kStopGrace{6'500};

/// Every soak has a network of its own on the loopback, so that several run beside each other.
std::string NodeHost(int base_port, int node) {
  constexpr int kPortsOfANetwork = 1'000;
  return fmt::format("127.0.{}.{}", base_port / kPortsOfANetwork, kFirstNodeNumber + node);
}

std::uint16_t Port(int number) { return static_cast<std::uint16_t>(number); }

/// A span in which requests to a node may go unanswered.
struct Disturbance {
  Milliseconds from{0};
  Milliseconds until{0};
};

class Runner {
 public:
  Runner(EventLoop& loop, const SoakOptions& options)
      : m_loop(loop),
        m_options(options),
        m_http(loop, kMostIdleConnections),
        m_disturbances(static_cast<std::size_t>(options.size.nodes)),
        m_consumers(loop, m_http, ConsumersOf(options),
                    [this](std::size_t node, Milliseconds from, Milliseconds until) {
                      return WasCalm(node, from, until);
                    }) {}

  absl::Status Open() {
    for (int node = 0; node < m_options.size.nodes; ++node) {
      TRY(Add(m_store_links, kStoreProxies + node, {"127.0.0.1", Port(m_options.base_port)}));
      TRY(Add(m_consumer_links, kConsumerProxies + node,
              {NodeHost(m_options.base_port, node), Port(m_options.base_port + kConsumerPort)}));
    }
    for (int minion = 0; minion < m_options.size.minions; ++minion) {
      TRY(Add(m_minion_links, kMinionProxies + minion, {"127.0.0.1", Port(m_options.base_port)}));
    }
    return absl::OkStatus();
  }

  SoakResult Run() {
    PutManifest();
    m_consumers.Start();
    for (const SoakStep& step : MakeSoakPlan(m_options.seed, m_options.size)) {
      ++m_result.faults;
      m_loop.After(step.at, [this, step] { Begin(step); });
    }
    m_loop.After(m_options.size.duration, [this] { EndFaults(); });
    m_loop.Run();
    return std::move(m_result);
  }

 private:
  using Links = std::vector<std::unique_ptr<LoopbackProxy>>;

  static SoakConsumerSettings ConsumersOf(const SoakOptions& options) {
    SoakConsumerSettings settings;
    settings.seed = options.seed;
    settings.bounds = options.bounds;
    settings.control = fmt::format("http://127.0.0.1:{}/stand-in/", options.base_port);
    for (int node = 0; node < options.size.nodes; ++node) {
      settings.nodes.push_back(
          fmt::format("http://127.0.0.1:{}", options.base_port + kConsumerProxies + node));
    }
    return settings;
  }

  absl::Status Add(Links& links, int offset, LoopbackAddress target) {
    const LoopbackAddress listen{"127.0.0.1", Port(m_options.base_port + offset)};
    links.push_back(TRY(LoopbackProxy::Create(m_loop, listen, std::move(target))));
    return absl::OkStatus();
  }

  // --- faults ---

  void Begin(const SoakStep& step) {
    if (m_faults_are_over) {
      return;
    }
    LogEvent(LogLevel::kInfo, "soak", SoakStepText(step)).Write();
    const std::size_t target = static_cast<std::size_t>(step.target);
    switch (step.action) {
      case SoakAction::kKillNode:
        Disturb(target, Milliseconds(0));
        Signal(target, SIGKILL);
        return;
      case SoakAction::kPauseNode:
        Disturb(target, step.lasts);
        Signal(target, SIGSTOP);
        m_loop.After(step.lasts, [this, target] { Signal(target, SIGCONT); });
        return;
      case SoakAction::kStopNode:
        // Requests under way are answered; only later ones may find nobody.
        m_disturbances[target].push_back(
            Disturbance{Now() + kStopTakesRequests, Now() + kStopGrace + kAftermath});
        Signal(target, SIGTERM);
        return;
      case SoakAction::kReloadNode:
        Signal(target, SIGHUP);
        return;
      case SoakAction::kNodeToStore:
        Set(*m_store_links[target], step);
        return;
      case SoakAction::kConsumersToNode:
        Disturb(target, step.lasts);
        Set(*m_consumer_links[target], step);
        return;
      case SoakAction::kNodesToMinion:
        Set(*m_minion_links[target], step);
        return;
      case SoakAction::kResetNodeToStore:
        m_store_links[target]->ResetAll();
        return;
      case SoakAction::kResetConsumersToNode:
        Disturb(target, Milliseconds(0));
        m_consumer_links[target]->ResetAll();
        return;
      case SoakAction::kResetNodesToMinion:
        m_minion_links[target]->ResetAll();
        return;
      case SoakAction::kStoreAway:
        for (const std::unique_ptr<LoopbackProxy>& link : m_store_links) {
          Set(*link, step);
        }
        return;
      case SoakAction::kStoreRefuses:
        Control(fmt::format("fail-store?fault=busy&count={}", step.count));
        return;
      case SoakAction::kStoreAnswersLost:
        Control(fmt::format("fail-store?fault=answer-lost&count={}", step.count));
        return;
      case SoakAction::kStoreWritesLate:
        Control(fmt::format("fail-store?fault=late&count={}", step.count));
        return;
      case SoakAction::kStoreForgets:
        Control("forget");
        return;
      case SoakAction::kMinionRestarts:
        Control(fmt::format("restart?minion=minion-{}", step.target));
        return;
      case SoakAction::kMinionAnswersLost:
        FailMinion(step, "answer-lost");
        return;
      case SoakAction::kMinionOrdersLate:
        FailMinion(step, "late");
        return;
      case SoakAction::kMinionRefuses:
        FailMinion(step, "refused");
        return;
      case SoakAction::kNewManifest:
        PutManifest();
        return;
      case SoakAction::kEvacuation:
        Control("put?key=op/evacuate/a", "{}");
        m_loop.After(step.lasts * 2, [this] { Control("remove?key=op/evacuate/a"); });
        return;
    }
  }

  void Set(LoopbackProxy& link, const SoakStep& step) {
    link.SetFault(step.link);
    m_loop.After(step.lasts, [&link] { link.SetFault(LinkFault{}); });
  }

  void FailMinion(const SoakStep& step, const std::string& fault) {
    Control(fmt::format("fail-minion?minion=minion-{}&fault={}&count={}", step.target, fault,
                        step.count));
  }

  void Disturb(std::size_t node, Milliseconds lasts) {
    m_disturbances[node].push_back(Disturbance{Now(), Now() + lasts + kAftermath});
  }

  bool WasCalm(std::size_t node, Milliseconds from, Milliseconds until) const {
    return std::none_of(m_disturbances[node].begin(), m_disturbances[node].end(),
                        [from, until](const Disturbance& disturbance) {
                          return disturbance.from <= until && from <= disturbance.until;
                        });
  }

  void Signal(std::size_t node, int signal) {
    std::ifstream file(fmt::format("{}/node-{}.pid", m_options.directory, node));
    pid_t process = 0;
    if (!(file >> process) || process <= 1 || kill(process, signal) != 0) {
      LogEvent(LogLevel::kInfo, "soak", "no process to signal")
          .Field("node", static_cast<std::int64_t>(node))
          .Field("signal", signal)
          .Write();
    }
  }

  /// Every second manifest takes the former key away.
  void PutManifest() {
    constexpr int kVersionsOfAKey = 2;
    constexpr int kVersionStep = 3;
    m_version += kVersionStep;
    const std::string key = fmt::format("key-{}", ++m_manifests / kVersionsOfAKey);
    Json manifest{{"version", m_version},
                  {"routes", Json::array({{{"name", "scan"},
                                           {"host", "shop.example"},
                                           {"prefix", "/scan/"},
                                           {"service", "pool"},
                                           {"priority", 0},
                                           {"maxAttempts", 3},
                                           {"slackFactor", 2.0},
                                           {"targetLatencyMs", 1000}}})},
                  {"tenants", Json::array({{{"name", "bakery"},
                                            {"apiKeys", Json::array({key})},
                                            {"guaranteed", {{"gpu", 16}}}}})}};
    Control("put?key=op/config", manifest.dump());
    m_consumers.UseKey(key);
  }

  void Control(const std::string& action, const std::string& body = "") {
    AsyncHttpCall call;
    call.call.url = fmt::format("http://127.0.0.1:{}/stand-in/{}", m_options.base_port, action);
    call.call.body = body;
    m_http.Send(std::move(call), [this, action](const HttpOutcome& outcome) {
      if (outcome.reach != CallReach::kAnswered || outcome.status != HttpStatus::kOk) {
        m_result.broken.push_back("the stand-in did not take " + action + " " + outcome.error);
      }
    });
  }

  // --- the end ---

  void EndFaults() {
    m_faults_are_over = true;
    m_consumers.StopSubmitting();
    for (const Links* const links : {&m_store_links, &m_consumer_links, &m_minion_links}) {
      for (const std::unique_ptr<LoopbackProxy>& link : *links) {
        link->SetFault(LinkFault{});
      }
    }
    for (int node = 0; node < m_options.size.nodes; ++node) {
      Signal(static_cast<std::size_t>(node), SIGCONT);
    }
    Control("remove?key=op/evacuate/a");
    Control("fail-store?fault=none");
    for (int minion = 0; minion < m_options.size.minions; ++minion) {
      Control(fmt::format("fail-minion?minion=minion-{}&fault=none", minion));
    }
    LogEvent(LogLevel::kInfo, "soak", "the faults are over").Write();
    m_settle_until = Now() + m_options.settle;
    AwaitEnds();
  }

  void AwaitEnds() {
    if (m_consumers.AllSettled() || Now() >= m_settle_until) {
      // What was shown as ended has surely left the minions after a moment.
      m_loop.After(kAftermath, [this] { ReadRecords(); });
      return;
    }
    m_loop.After(kSettlePoll, [this] { AwaitEnds(); });
  }

  void ReadRecords() {
    Ask("broken", [this](const Json& broken) {
      for (const Json& line : broken) {
        m_result.broken.push_back(line.get<std::string>());
      }
      Ask("jobs", [this](const Json& records) { Finish(records); });
    });
  }

  void Ask(const std::string& what, std::function<void(const Json&)> take) {
    AsyncHttpCall call;
    call.call.method = HttpMethod::kGet;
    call.call.url = fmt::format("http://127.0.0.1:{}/stand-in/{}", m_options.base_port, what);
    m_http.Send(std::move(call), [this, what, take = std::move(take)](const HttpOutcome& outcome) {
      const Json json = Json::parse(outcome.body, nullptr, false);
      if (!json.is_array()) {
        m_result.broken.push_back("the stand-in did not answer " + what + " " + outcome.error);
        m_loop.Stop();
        return;
      }
      take(json);
    });
  }

  void Finish(const Json& rows) {
    std::vector<SoakJobRecord> records;
    for (const Json& row : rows) {
      records.push_back(SoakJobRecord{JobId(row.at("job").get<std::string>()),
                                      row.at("starts").get<int>(),
                                      Milliseconds(row.at("last_order_ms").get<std::int64_t>()),
                                      row.at("running").get<int>(), row.at("done").get<int>()});
    }
    const std::vector<SoakJob> jobs = m_consumers.Jobs();
    for (const std::vector<std::string>& lines :
         {m_consumers.broken(), CheckSoakEnd(jobs, records, m_options.bounds)}) {
      m_result.broken.insert(m_result.broken.end(), lines.begin(), lines.end());
    }
    for (const SoakJob& job : jobs) {
      ++m_result.jobs;
      m_result.accepted += job.hand_in == HandIn::kAccepted ? 1 : 0;
      m_result.rejected += job.hand_in == HandIn::kRejected ? 1 : 0;
      m_result.done += job.state == "done" ? 1 : 0;
      m_result.cancelled += job.state == "cancelled" ? 1 : 0;
    }
    m_result.answered = m_consumers.answered();
    m_result.unanswered = m_consumers.unanswered();
    m_loop.Stop();
  }

  Milliseconds Now() const { return m_loop.clock().Now(); }

  EventLoop& m_loop;
  const SoakOptions m_options;
  AsyncHttpClient m_http;
  Links m_store_links;
  Links m_consumer_links;
  Links m_minion_links;
  std::vector<std::vector<Disturbance>> m_disturbances;
  SoakConsumers m_consumers;
  SoakResult m_result;
  Milliseconds m_settle_until{0};
  bool m_faults_are_over = false;
  int m_version = 0;
  int m_manifests = 1;
};

}  // namespace

absl::StatusOr<SoakResult> RunSoak(EventLoop& loop, const SoakOptions& options) {
  Runner runner(loop, options);
  TRY(runner.Open());
  return runner.Run();
}

}  // namespace papayalift
