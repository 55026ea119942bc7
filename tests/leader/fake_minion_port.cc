#include "leader/fake_minion_port.h"

namespace papayalift {

namespace {

constexpr Milliseconds kNetworkDelay{2};

}  // namespace

void FakeMinionPort::Start(const MinionAddress& minion, const StartOrder& order,
                           std::function<void(OrderAnswer)> callback) {
  m_timers.After(kNetworkDelay,
                 [this, minion, order, guarded = Guard<OrderAnswer>(std::move(callback))] {
                   m_minions.Start(minion, order, guarded);
                 });
}

void FakeMinionPort::Stop(const MinionAddress& minion, const StopOrder& order,
                          std::function<void(OrderAnswer)> callback) {
  m_timers.After(kNetworkDelay,
                 [this, minion, order, guarded = Guard<OrderAnswer>(std::move(callback))] {
                   m_minions.Stop(minion, order, guarded);
                 });
}

void FakeMinionPort::Hold(const MinionAddress& minion, const HoldOrder& order,
                          std::function<void(HoldAnswer)> callback) {
  m_timers.After(kNetworkDelay,
                 [this, minion, order, guarded = Guard<HoldAnswer>(std::move(callback))] {
                   m_minions.Hold(minion, order, guarded);
                 });
}

}  // namespace papayalift
