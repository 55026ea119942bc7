/// Models a small fleet with the production promises and membership, on one virtual clock.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/manual_clock.h"
#include "libraries/node/membership.h"
#include "libraries/store/memory_store.h"

namespace papayalift {

/// Injects faults drawn from rapidcheck: one node starts late; nodes lose the store and each other,
/// freeze, restart and change the zones; responses are lost and writes arrive late.
class HoldModel {
 public:
  HoldModel();
  ~HoldModel();

  void Step();

  /// How often a node admitted calls under promises.
  int admissions() const { return m_admissions; }

 private:
  struct Node;
  static constexpr std::size_t kNodes = 3;

  bool Reaches(const Node& node) const;
  void InjectFaults(Node& node);
  void Restart(Node& node);
  void UseStore(Node& node);
  void RegisterIn(Node& node);
  void BeginChange(Node& node);
  void SendChange(Node& node);
  void ExchangeHeartbeats(std::size_t from, std::size_t to);
  void CheckAdmission(Node& node);
  ZoneEpoch StoredEpoch();

  ManualClock m_clock;
  MemoryStore m_store;
  bool m_store_up = true;
  std::array<std::unique_ptr<Node>, kNodes> m_nodes;
  /// Heartbeats in flight, by sender and receiver.
  std::array<std::array<std::deque<Heartbeat>, kNodes>, kNodes> m_links;
  int m_admissions = 0;
  int m_processes = 0;
};

}  // namespace papayalift
