/// A minion port that passes calls to simulated minions after a short virtual delay.
#pragma once

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "leader/fake_connections.h"
#include "libraries/loop/timers.h"
#include "libraries/work/minion_port.h"
#include "stand_ins/fleet/fleet_minions.h"

namespace papayalift {

/// The connection of one node to the minions.
class FakeMinionPort final : public MinionPort {
 public:
  FakeMinionPort(Timers& timers, FleetMinions& minions) : m_timers(timers), m_minions(minions) {}

  void Start(const MinionAddress& minion, const StartOrder& order,
             std::function<void(OrderAnswer)> callback) override;
  void Stop(const MinionAddress& minion, const StopOrder& order,
            std::function<void(OrderAnswer)> callback) override;
  void Hold(const MinionAddress& minion, const HoldOrder& order,
            std::function<void(HoldAnswer)> callback) override;

  int holds() const { return m_holds; }
  int max_holds_in_flight() const { return m_max_holds_in_flight; }
  /// Holds that acknowledged ends, and those of them that were to wait for another.
  int acknowledging_holds() const { return m_acknowledging_holds; }
  int waiting_acknowledgements() const { return m_waiting_acknowledgements; }
  int starts() const { return m_starts; }

  /// Answers are passed on by `deliver`, so that they wait for their turn in a slow process.
  void SetDelivery(std::function<void(std::function<void()>)> deliver) {
    m_deliver = std::move(deliver);
  }

  /// Simulates the end of the process: no answer is delivered any more.
  void Detach() { m_is_detached = true; }
  /// While the process is frozen, answers wait.
  void Freeze() { m_is_frozen = true; }
  void Thaw();

 private:
  /// Takes a connection for a call that arrives now. The result passes the answer on, and releases
  /// the connection.
  template <typename Answer>
  std::function<void(Answer)> Connect(const MinionId& minion,
                                      std::function<void(Answer)> callback) {
    return ConnectOver(
        m_connections.Take(minion, m_minions.ListeningSince(minion), m_timers.clock().Now()),
        minion, std::move(callback));
  }

  template <typename Answer>
  std::function<void(Answer)> ConnectOver(std::shared_ptr<FakeConnection> connection,
                                          const MinionId& minion,
                                          std::function<void(Answer)> callback) {
    return [this, minion, connection = std::move(connection),
            callback = std::move(callback)](Answer answer) {
      m_connections.Release(minion, connection, answer.result != OrderResult::kUnclear);
      answer.connection_opened_at = connection->opened_at;
      callback(answer);
    };
  }

  void HoldNow(const MinionAddress& minion, const HoldOrder& order,
               const std::function<void(HoldAnswer)>& callback);

  template <typename Answer>
  std::function<void(Answer)> Guard(std::function<void(Answer)> callback) {
    return [this, callback = std::move(callback)](const Answer& answer) {
      if (m_is_frozen) {
        m_late_answers.push_back([callback, answer] { callback(answer); });
      } else if (!m_is_detached && m_deliver) {
        m_deliver([this, callback, answer] {
          if (!m_is_detached) {
            callback(answer);
          }
        });
      } else if (!m_is_detached) {
        callback(answer);
      }
    };
  }

  Timers& m_timers;
  FleetMinions& m_minions;
  FakeConnections m_connections;
  bool m_is_detached = false;
  bool m_is_frozen = false;
  std::vector<std::function<void()>> m_late_answers;
  std::function<void(std::function<void()>)> m_deliver;
  int m_starts = 0;
  int m_holds = 0;
  int m_holds_in_flight = 0;
  int m_max_holds_in_flight = 0;
  int m_acknowledging_holds = 0;
  int m_waiting_acknowledgements = 0;
};

}  // namespace papayalift
