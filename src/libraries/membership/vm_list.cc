#include "libraries/membership/vm_list.h"

namespace papayalift {

namespace {

/// Far above any fleet size; further VMs count as live.
constexpr std::size_t kMaxLeavingVms = 20'000;

}  // namespace

void VmList::Update(const std::vector<VmEntry>& entries) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const VmEntry& entry : entries) {
    if (entry.state == VmState::kLive) {
      m_leaving.erase(entry.name);
    } else if (m_leaving.size() < kMaxLeavingVms || m_leaving.contains(entry.name)) {
      m_leaving[entry.name] = entry.state;
    }
  }
}

VmState VmList::StateOf(const std::string& name) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_leaving.find(name);
  return found == m_leaving.end() ? VmState::kLive : found->second;
}

std::size_t VmList::leaving() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_leaving.size();
}

}  // namespace papayalift
