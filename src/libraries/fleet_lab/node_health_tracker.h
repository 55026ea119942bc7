/// Tracks which entry nodes report themselves healthy, as a load balancer does.
#pragma once

#include <mutex>
#include <random>
#include <vector>

#include "libraries/fleet_lab/fleet_listing.h"

namespace papayalift {

enum class NodeHealth { kHealthy, kUnhealthy };

/// Thread-safe.
class NodeHealthTracker {
 public:
  NodeHealthTracker(std::vector<FleetNode> nodes, std::uint64_t seed)
      : m_nodes(std::move(nodes)), m_health(m_nodes.size(), NodeHealth::kHealthy), m_random(seed) {}

  const std::vector<FleetNode>& nodes() const { return m_nodes; }

  void SetHealth(std::size_t index, NodeHealth health) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_health[index] = health;
  }

  /// Returns a random healthy node, or any node if none is healthy.
  const FleetNode& Pick() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::uniform_int_distribution<std::size_t> pick(0, m_nodes.size() - 1);
    const std::size_t first = pick(m_random);
    for (std::size_t step = 0; step < m_nodes.size(); ++step) {
      const std::size_t index = (first + step) % m_nodes.size();
      if (m_health[index] == NodeHealth::kHealthy) {
        return m_nodes[index];
      }
    }
    return m_nodes[first];
  }

 private:
  const std::vector<FleetNode> m_nodes;
  std::mutex m_mutex;
  std::vector<NodeHealth> m_health;
  std::mt19937_64 m_random;
};

}  // namespace papayalift
