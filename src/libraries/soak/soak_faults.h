/// Injects the faults of a plan into links, processes, store, minions and manifest.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "libraries/http/async_http_client.h"
#include "libraries/soak/loopback_proxy.h"
#include "libraries/soak/soak_plan.h"

namespace papayalift {

struct SoakFaultSettings {
  SoakSize size;
  /// Contains a file "node-N.pid" with the process id of each node.
  std::string directory;
  /// Port of the stand-in; the proxies' ports lie above it.
  int base_port = 0;
};

/// The URL at which consumers reach a node.
std::string SoakNodeUrl(int base_port, int node);
/// "http://IP:port/stand-in/"
std::string SoakControlUrl(int base_port);

struct SoakFaultCallbacks {
  /// Called when a new manifest requires `key`.
  std::function<void(const std::string& key)> on_key;
  /// Called when a request to the stand-in's control endpoint failed.
  std::function<void(const std::string& what)> on_failure;
};

/// Use only on the loop's thread.
class SoakFaults {
 public:
  SoakFaults(EventLoop& loop, AsyncHttpClient& http, SoakFaultSettings settings,
             SoakFaultCallbacks callbacks);

  /// Returns kUnavailable if a port is in use.
  absl::Status OpenLinks();

  void Begin(const SoakStep& step);
  /// Reverts all active faults and begins no further ones.
  void EndAll();
  void PutManifest();

  /// Whether a node had no fault between two times that may interrupt a request.
  bool WasFaultFree(std::size_t node, Milliseconds from, Milliseconds until) const;

 private:
  /// A time interval in which requests to a node may stay unanswered.
  struct Disturbance {
    Milliseconds from{0};
    Milliseconds until{0};
  };
  using Links = std::vector<std::unique_ptr<LoopbackProxy>>;
  using BeginFault = void (SoakFaults::*)(const SoakStep&);
  struct FaultKind {
    SoakAction action;
    BeginFault begin;
  };
  static const std::vector<FaultKind>& Kinds();

  void KillNode(const SoakStep& step);
  void PauseNode(const SoakStep& step);
  void StopNode(const SoakStep& step);
  void ReloadNode(const SoakStep& step);
  void DisturbNodeToStore(const SoakStep& step);
  void DisturbConsumersToNode(const SoakStep& step);
  void DisturbNodesToMinion(const SoakStep& step);
  void ResetNodeToStore(const SoakStep& step);
  void ResetConsumersToNode(const SoakStep& step);
  void ResetNodesToMinion(const SoakStep& step);
  void TakeStoreAway(const SoakStep& step);
  void RefuseStoreCalls(const SoakStep& step);
  void LoseStoreAnswers(const SoakStep& step);
  void DelayStoreWrites(const SoakStep& step);
  void ForgetHistory(const SoakStep& step);
  void RestartMinion(const SoakStep& step);
  void LoseMinionAnswers(const SoakStep& step);
  void DelayMinionOrders(const SoakStep& step);
  void RefuseMinionCalls(const SoakStep& step);
  void ChangeManifest(const SoakStep& step);
  void Evacuate(const SoakStep& step);
  void LoseMinion(const SoakStep& step);
  void KillLeader(const SoakStep& step);
  void DrainMinion(const SoakStep& step);
  void WriteOddEntry(const SoakStep& step);

  absl::Status AddLink(Links& links, int offset, LoopbackAddress target);
  void SetLink(LoopbackProxy& link, const SoakStep& step);
  void FailStore(const SoakStep& step, const std::string& fault);
  void FailMinion(const SoakStep& step, const std::string& fault);
  void Disturb(std::size_t node, Milliseconds lasts);
  void Signal(std::size_t node, int signal);
  void Control(const std::string& action, const std::string& body = "",
               std::function<void(const std::string& answer)> take = nullptr);
  Milliseconds Now() const { return m_loop.clock().Now(); }

  EventLoop& m_loop;
  AsyncHttpClient& m_http;
  const SoakFaultSettings m_settings;
  const SoakFaultCallbacks m_callbacks;
  Links m_store_links;
  Links m_consumer_links;
  Links m_minion_links;
  std::vector<std::vector<Disturbance>> m_disturbances;
  bool m_has_ended = false;
  int m_version = 0;
  int m_manifests = 1;
};

}  // namespace papayalift
