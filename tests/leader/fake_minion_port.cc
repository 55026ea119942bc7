#include "leader/fake_minion_port.h"

namespace papayalift {

namespace {

constexpr Milliseconds kNetworkDelay{2};

}  // namespace

void FakeMinionPort::Start(const MinionAddress& minion, const StartOrder& order,
                           std::function<void(OrderAnswer)> callback) {
  ++m_starts;
  m_timers.After(kNetworkDelay,
                 [this, minion, order, guarded = Guard<OrderAnswer>(std::move(callback))] {
                   m_minions.Start(minion, order, Connect(minion.id, guarded));
                 });
}

void FakeMinionPort::Stop(const MinionAddress& minion, const StopOrder& order,
                          std::function<void(OrderAnswer)> callback) {
  m_timers.After(kNetworkDelay,
                 [this, minion, order, guarded = Guard<OrderAnswer>(std::move(callback))] {
                   m_minions.Stop(minion, order, Connect(minion.id, guarded));
                 });
}

void FakeMinionPort::Hold(const MinionAddress& minion, const HoldOrder& order,
                          std::function<void(HoldAnswer)> callback) {
  ++m_holds;
  const bool acknowledges = order.acknowledged.value() > 0;
  m_acknowledging_holds += acknowledges ? 1 : 0;
  m_waiting_acknowledgements += acknowledges && order.wait.count() > 0 ? 1 : 0;
  m_max_holds_in_flight = std::max(m_max_holds_in_flight, ++m_holds_in_flight);
  const auto counted = [this, callback = std::move(callback)](const HoldAnswer& answer) {
    --m_holds_in_flight;
    callback(answer);
  };
  m_timers.After(kNetworkDelay, [this, minion, order, guarded = Guard<HoldAnswer>(counted)] {
    HoldNow(minion, order, guarded);
  });
}

void FakeMinionPort::HoldNow(const MinionAddress& minion, const HoldOrder& order,
                             const std::function<void(HoldAnswer)>& callback) {
  if (!order.connection_opened_by.has_value()) {
    m_minions.Hold(minion, order, Connect(minion.id, callback));
    return;
  }
  const std::shared_ptr<FakeConnection> kept = m_connections.TakeOpenedBy(
      minion.id, m_minions.ListeningSince(minion.id), *order.connection_opened_by);
  if (kept == nullptr) {
    HoldAnswer not_sent;
    not_sent.result = OrderResult::kNotSent;
    callback(not_sent);
    return;
  }
  m_minions.Hold(minion, order, ConnectOver(kept, minion.id, callback));
}

void FakeMinionPort::Thaw() {
  m_is_frozen = false;
  for (const std::function<void()>& deliver : std::exchange(m_late_answers, {})) {
    if (!m_is_detached) {
      deliver();
    }
  }
}

}  // namespace papayalift
