/// Routes calls to minions: two random choices, a retry budget, deadlines, tickets.
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
  /// The better of two random ones.
  kTwoRandom,
  /// One random one: the baseline of measurements.
  kRandom,
};

enum class RetryBudget {
  kLimited,
  /// The baseline of measurements.
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

  /// Minions that leave by `vms` get nothing new. To be set before the first call.
  void SetVmList(const VmList& vms) { m_vms = &vms; }

  /// Waits for the answer, at most for the request's limit. Each of `live_nodes` entry nodes keeps
  /// to its share of a minion's connections; where all shares are used up the call is refused.
  CallResult Route(const CallRequest& request, const ServiceSpec& service, int live_nodes = 1);

 private:
  enum class TryResult { kDone, kRefused, kUnclear };

  /// Counts the chosen one's call as begun. Null, with the reason, where none may be sent to.
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
