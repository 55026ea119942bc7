/// Routes calls to minions by the power of two random choices, with a retry budget, deadlines and
/// tickets.
#pragma once

#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/calls/call_messages.h"
#include "libraries/calls/minion_messages.h"
#include "libraries/calls/minion_table.h"
#include "libraries/calls/zone_gate.h"
#include "libraries/http/http_client.h"
#include "libraries/membership/vm_list.h"
#include "libraries/metrics/metrics.h"
#include "libraries/model/bundle.h"

namespace papayalift {

enum class MinionChoice {
  /// The less loaded of two random minions.
  kTwoRandom,
  /// One random minion; a baseline for measurements.
  kRandom,
};

enum class RetryBudget {
  kLimited,
  /// A baseline for measurements.
  kUnlimited,
};

struct CallPolicy {
  MinionChoice choice = MinionChoice::kTwoRandom;
  RetryBudget budget = RetryBudget::kLimited;
};

class CallRouter {
 public:
  CallRouter(const Clock& clock, ZoneGate& gate, std::shared_ptr<HttpClient> client,
             Metrics& metrics, std::uint64_t seed, const CallPolicy& policy = CallPolicy{});

  /// Leaving minions in `vms` get no new calls. Must be called before the first call to Route().
  void SetVmList(const VmList& vms) { m_vms = &vms; }

  /// Waits for the answer, at most for the request's limit. Each of the `live_nodes` entry nodes
  /// uses at most an equal share of a minion's connections. If this node has used up its share of
  /// every minion, the call is not run.
  CallResult Route(const CallRequest& request, const ServiceSpec& service, int live_nodes = 1);

 private:
  enum class TryResult { kDone, kRefused, kUnclear };

  /// Chooses a minion and counts a call to it as outstanding. Returns null and sets `reason` if no
  /// minion may get the call.
  const MinionSpec* ChooseMinion(const ServiceSpec& service, int live_nodes, std::string& reason);
  const MinionSpec* PickMinion(const std::vector<const MinionSpec*>& candidates);
  TryResult TryMinion(const CallRequest& request, const MinionSpec& minion, Milliseconds deadline,
                      CallResult& result);
  absl::Status EnsureTicket(const MinionSpec& minion, Milliseconds limit);
  bool SpendRetryToken();
  void AddRetryTokens();

  const Clock& m_clock;
  ZoneGate& m_gate;
  const std::shared_ptr<HttpClient> m_client;
  Metrics& m_metrics;
  const VmList* m_vms = nullptr;
  const MinionChoice m_choice;
  const RetryBudget m_budget;
  MinionTable m_minions;
  std::mutex m_mutex;
  std::mt19937_64 m_random;
  double m_retry_tokens;
};

}  // namespace papayalift
