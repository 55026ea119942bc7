/// A small fleet over the real promises, membership and store, on one virtual clock.
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

/// Nodes, of which one starts late, lose the store and each other, freeze, restart, and change the
/// zones, with answers that are lost and writes that come late. Draws from rapidcheck.
class HoldModel {
 public:
  HoldModel();
  ~HoldModel();

  void Step();

  /// How often a node let calls go on under promises.
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
  /// Heartbeats on the way, by sender and receiver.
  std::array<std::array<std::deque<Heartbeat>, kNodes>, kNodes> m_links;
  int m_admissions = 0;
  int m_processes = 0;
};

}  // namespace papayalift
