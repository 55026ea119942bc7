#include "libraries/soak/soak_faults.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <utility>

#include "libraries/base/try.h"
#include "libraries/journal/journal_keys.h"
#include "libraries/log/log_event.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

/// Offsets of the proxies' ports from the stand-in's port.
constexpr int kStoreProxies = 100;
constexpr int kConsumerProxies = 200;
constexpr int kMinionProxies = 300;
constexpr int kConsumerPort = 1;
constexpr int kFirstNodeNumber = 10;
/// Time after a fault's end during which requests may still be affected.
constexpr Milliseconds kFaultAftereffect{4'000};
/// Minimum time for which a node still accepts requests after SIGTERM.
constexpr Milliseconds kMinServingTimeAfterStop{2'000};
/// Time after SIGTERM until a stopping node is killed.
constexpr Milliseconds kStopGrace{6'500};
/// Evacuations last longer than other faults, so that their time bound expires.
constexpr int kEvacuationDurationFactor = 2;

/// Each soak uses a separate loopback network, so that several can run concurrently.
std::string NodeHost(int base_port, int node) {
  constexpr int kPortsPerNetwork = 1'000;
  return fmt::format("127.0.{}.{}", base_port / kPortsPerNetwork, kFirstNodeNumber + node);
}

std::uint16_t Port(int number) { return static_cast<std::uint16_t>(number); }

std::size_t TargetOf(const SoakStep& step) { return static_cast<std::size_t>(step.target); }

}  // namespace

std::string SoakNodeUrl(int base_port, int node) {
  return fmt::format("http://127.0.0.1:{}", base_port + kConsumerProxies + node);
}

std::string SoakControlUrl(int base_port) {
  return fmt::format("http://127.0.0.1:{}/stand-in/", base_port);
}

SoakFaults::SoakFaults(EventLoop& loop, AsyncHttpClient& http, SoakFaultSettings settings,
                       SoakFaultCallbacks callbacks)
    : m_loop(loop),
      m_http(http),
      m_settings(std::move(settings)),
      m_callbacks(std::move(callbacks)),
      m_disturbances(static_cast<std::size_t>(m_settings.size.nodes)) {}

absl::Status SoakFaults::OpenLinks() {
  const int base = m_settings.base_port;
  for (int node = 0; node < m_settings.size.nodes; ++node) {
    TRY(AddLink(m_store_links, kStoreProxies + node, {"127.0.0.1", Port(base)}));
    TRY(AddLink(m_consumer_links, kConsumerProxies + node,
                {NodeHost(base, node), Port(base + kConsumerPort)}));
  }
  for (int minion = 0; minion < m_settings.size.minions; ++minion) {
    TRY(AddLink(m_minion_links, kMinionProxies + minion, {"127.0.0.1", Port(base)}));
  }
  return absl::OkStatus();
}

absl::Status SoakFaults::AddLink(Links& links, int offset, LoopbackAddress target) {
  const LoopbackAddress listen{"127.0.0.1", Port(m_settings.base_port + offset)};
  links.push_back(TRY(LoopbackProxy::Create(m_loop, listen, std::move(target))));
  return absl::OkStatus();
}

const std::vector<SoakFaults::FaultKind>& SoakFaults::Kinds() {
  static const std::vector<FaultKind> kKinds{
      {SoakAction::kKillNode, &SoakFaults::KillNode},
      {SoakAction::kPauseNode, &SoakFaults::PauseNode},
      {SoakAction::kStopNode, &SoakFaults::StopNode},
      {SoakAction::kReloadNode, &SoakFaults::ReloadNode},
      {SoakAction::kNodeToStore, &SoakFaults::DisturbNodeToStore},
      {SoakAction::kConsumersToNode, &SoakFaults::DisturbConsumersToNode},
      {SoakAction::kNodesToMinion, &SoakFaults::DisturbNodesToMinion},
      {SoakAction::kResetNodeToStore, &SoakFaults::ResetNodeToStore},
      {SoakAction::kResetConsumersToNode, &SoakFaults::ResetConsumersToNode},
      {SoakAction::kResetNodesToMinion, &SoakFaults::ResetNodesToMinion},
      {SoakAction::kStoreAway, &SoakFaults::TakeStoreAway},
      {SoakAction::kStoreRefuses, &SoakFaults::RefuseStoreCalls},
      {SoakAction::kStoreAnswersLost, &SoakFaults::LoseStoreAnswers},
      {SoakAction::kStoreWritesLate, &SoakFaults::DelayStoreWrites},
      {SoakAction::kStoreForgets, &SoakFaults::ForgetHistory},
      {SoakAction::kMinionRestarts, &SoakFaults::RestartMinion},
      {SoakAction::kMinionAnswersLost, &SoakFaults::LoseMinionAnswers},
      {SoakAction::kMinionOrdersLate, &SoakFaults::DelayMinionOrders},
      {SoakAction::kMinionRefuses, &SoakFaults::RefuseMinionCalls},
      {SoakAction::kNewManifest, &SoakFaults::ChangeManifest},
      {SoakAction::kEvacuation, &SoakFaults::Evacuate},
      {SoakAction::kMinionGone, &SoakFaults::LoseMinion},
      {SoakAction::kKillLeader, &SoakFaults::KillLeader},
      {SoakAction::kMinionDrains, &SoakFaults::DrainMinion},
      {SoakAction::kOddEntry, &SoakFaults::WriteOddEntry}};
  return kKinds;
}

void SoakFaults::Begin(const SoakStep& step) {
  if (m_has_ended) {
    return;
  }
  LogEvent(LogLevel::kInfo, "soak", SoakStepText(step)).Write();
  for (const FaultKind& kind : Kinds()) {
    if (kind.action == step.action) {
      (this->*kind.begin)(step);
    }
  }
}

// --- processes ---

void SoakFaults::KillNode(const SoakStep& step) {
  Disturb(TargetOf(step), Milliseconds(0));
  Signal(TargetOf(step), SIGKILL);
}

void SoakFaults::KillLeader(const SoakStep& step) {
  Control(fmt::format("value?key={}", kTermKey), "", [this, step](const std::string& term) {
    SoakStep killed = step;
    if (std::sscanf(term.c_str(), "edge-%d ", &killed.target) == 1 &&
        killed.target < m_settings.size.nodes && !m_has_ended) {
      KillNode(killed);
    }
  });
}

void SoakFaults::PauseNode(const SoakStep& step) {
  Disturb(TargetOf(step), step.lasts);
  Signal(TargetOf(step), SIGSTOP);
  m_loop.After(step.lasts, [this, node = TargetOf(step)] { Signal(node, SIGCONT); });
}

void SoakFaults::StopNode(const SoakStep& step) {
  // Requests in flight are answered; only later ones may fail to connect.
  m_disturbances[TargetOf(step)].push_back(
      Disturbance{Now() + kMinServingTimeAfterStop, Now() + kStopGrace + kFaultAftereffect});
  Signal(TargetOf(step), SIGTERM);
}

void SoakFaults::ReloadNode(const SoakStep& step) { Signal(TargetOf(step), SIGHUP); }

// --- links ---

void SoakFaults::DisturbNodeToStore(const SoakStep& step) {
  SetLink(*m_store_links[TargetOf(step)], step);
}

void SoakFaults::DisturbConsumersToNode(const SoakStep& step) {
  Disturb(TargetOf(step), step.lasts);
  SetLink(*m_consumer_links[TargetOf(step)], step);
}

void SoakFaults::DisturbNodesToMinion(const SoakStep& step) {
  SetLink(*m_minion_links[TargetOf(step)], step);
}

void SoakFaults::ResetNodeToStore(const SoakStep& step) {
  m_store_links[TargetOf(step)]->ResetAll();
}

void SoakFaults::ResetConsumersToNode(const SoakStep& step) {
  Disturb(TargetOf(step), Milliseconds(0));
  m_consumer_links[TargetOf(step)]->ResetAll();
}

void SoakFaults::ResetNodesToMinion(const SoakStep& step) {
  m_minion_links[TargetOf(step)]->ResetAll();
}

void SoakFaults::TakeStoreAway(const SoakStep& step) {
  for (const std::unique_ptr<LoopbackProxy>& link : m_store_links) {
    SetLink(*link, step);
  }
}

void SoakFaults::SetLink(LoopbackProxy& link, const SoakStep& step) {
  link.SetFault(step.link);
  m_loop.After(step.lasts, [&link] { link.SetFault(LinkFault{}); });
}

// --- store and minions ---

void SoakFaults::RefuseStoreCalls(const SoakStep& step) { FailStore(step, "busy"); }
void SoakFaults::LoseStoreAnswers(const SoakStep& step) { FailStore(step, "answer-lost"); }
void SoakFaults::DelayStoreWrites(const SoakStep& step) { FailStore(step, "late"); }
void SoakFaults::ForgetHistory(const SoakStep& /*step*/) { Control("forget"); }

void SoakFaults::RestartMinion(const SoakStep& step) {
  Control(fmt::format("restart?minion=minion-{}", step.target));
}

void SoakFaults::LoseMinion(const SoakStep& step) {
  m_minion_links[TargetOf(step)]->Close();
  Control(fmt::format("crash?minion=minion-{}&back=never", step.target));
}

void SoakFaults::LoseMinionAnswers(const SoakStep& step) { FailMinion(step, "answer-lost"); }
void SoakFaults::DelayMinionOrders(const SoakStep& step) { FailMinion(step, "late"); }
void SoakFaults::RefuseMinionCalls(const SoakStep& step) { FailMinion(step, "refused"); }

void SoakFaults::FailStore(const SoakStep& step, const std::string& fault) {
  Control(fmt::format("fail-store?fault={}&count={}", fault, step.count));
}

void SoakFaults::FailMinion(const SoakStep& step, const std::string& fault) {
  Control(fmt::format("fail-minion?minion=minion-{}&fault={}&count={}", step.target, fault,
                      step.count));
}

// --- the operator ---

void SoakFaults::ChangeManifest(const SoakStep& /*step*/) { PutManifest(); }

void SoakFaults::DrainMinion(const SoakStep& step) {
  Control(fmt::format("drain?minion=minion-{}&notice={}", step.target, step.lasts.count()));
}

void SoakFaults::WriteOddEntry(const SoakStep& step) {
  // The address answers nothing, and `slots` is missing.
  const Json entry{{"service", "pool"},
                   {"address", "127.0.0.1:9"},
                   {"zone", "a"},
                   {"version", "v1"},
                   {"state", "ready"},
                   {"capacity", {{"cpu", 8'000}, {"memMb", 8'000}, {"gpu", 8}}},
                   {"labels", Json::array({"kind", "rack-0"})},
                   {"born", m_loop.clock().WallNow().count()},
                   {"sequence", 1}};
  Control(fmt::format("put?key=servers/minion-{}", step.target), entry.dump());
}

void SoakFaults::Evacuate(const SoakStep& step) {
  Control("put?key=op/evacuate/a", "{}");
  m_loop.After(step.lasts * kEvacuationDurationFactor,
               [this] { Control("remove?key=op/evacuate/a"); });
}

/// Every second manifest replaces the API key.
void SoakFaults::PutManifest() {
  constexpr int kManifestsPerKey = 2;
  constexpr int kVersionStep = 3;
  m_version += kVersionStep;
  const std::string key = fmt::format("key-{}", ++m_manifests / kManifestsPerKey);
  const Json manifest{{"version", m_version},
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
  m_callbacks.on_key(key);
}

// --- end of the soak ---

void SoakFaults::EndAll() {
  m_has_ended = true;
  for (const Links* const links : {&m_store_links, &m_consumer_links, &m_minion_links}) {
    for (const std::unique_ptr<LoopbackProxy>& link : *links) {
      link->SetFault(LinkFault{});
    }
  }
  for (int node = 0; node < m_settings.size.nodes; ++node) {
    Signal(static_cast<std::size_t>(node), SIGCONT);
  }
  Control("remove?key=op/evacuate/a");
  Control("fail-store?fault=none");
  for (int minion = 0; minion < m_settings.size.minions; ++minion) {
    Control(fmt::format("fail-minion?minion=minion-{}&fault=none", minion));
  }
  LogEvent(LogLevel::kInfo, "soak", "the faults are over").Write();
}

void SoakFaults::Disturb(std::size_t node, Milliseconds lasts) {
  m_disturbances[node].push_back(Disturbance{Now(), Now() + lasts + kFaultAftereffect});
}

bool SoakFaults::WasFaultFree(std::size_t node, Milliseconds from, Milliseconds until) const {
  return std::none_of(m_disturbances[node].begin(), m_disturbances[node].end(),
                      [from, until](const Disturbance& disturbance) {
                        return disturbance.from <= until && from <= disturbance.until;
                      });
}

void SoakFaults::Signal(std::size_t node, int signal) {
  std::ifstream file(fmt::format("{}/node-{}.pid", m_settings.directory, node));
  pid_t process = 0;
  if (!(file >> process) || process <= 1 || kill(process, signal) != 0) {
    LogEvent(LogLevel::kInfo, "soak", "failed to signal a node process")
        .Field("node", static_cast<std::int64_t>(node))
        .Field("signal", signal)
        .Write();
  }
}

void SoakFaults::Control(const std::string& action, const std::string& body,
                         std::function<void(const std::string& answer)> take) {
  AsyncHttpCall call;
  call.call.url = SoakControlUrl(m_settings.base_port) + action;
  call.call.body = body;
  m_http.Send(std::move(call), [this, action, take = std::move(take)](const HttpOutcome& outcome) {
    if (outcome.result != HttpCallResult::kAnswered || outcome.status != HttpStatus::kOk) {
      m_callbacks.on_failure("the stand-in rejected or did not answer " + action + " " +
                             outcome.error);
    } else if (take) {
      take(outcome.body);
    }
  });
}

}  // namespace papayalift
