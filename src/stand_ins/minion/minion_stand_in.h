/// A stand-in for a minion: serves calls in a fixed number of slots and refuses further calls.
///
/// Controls: "POST /control/faults", "POST /control/conduct", "GET /control/record?since=N".
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/base/boot_clock.h"
#include "libraries/http/http_server.h"
#include "stand_ins/control/control_messages.h"
#include "stand_ins/control/faulty_handler.h"

namespace papayalift {

class MinionStandIn {
 public:
  static absl::StatusOr<std::unique_ptr<MinionStandIn>> Create(const std::string& address,
                                                               std::uint16_t port, int slots);
  ~MinionStandIn();

  std::uint16_t port() const { return m_server->port(); }
  /// Number of calls whose work has begun.
  std::int64_t served() const;
  /// Returns the ids and start times of the calls whose work has begun, from index `since` on.
  MinionRecord RecordSince(std::size_t since) const;
  void Behave(const ConductOrder& order);

 private:
  explicit MinionStandIn(int slots)
      : m_slots(slots), m_faults([this](const HttpRequest& request) { return Handle(request); }) {}

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Report(const HttpRequest& request);
  HttpResponse Serve(const HttpRequest& request);
  HttpResponse HandleConduct(const HttpRequest& request);
  HttpResponse HandleRecord(const HttpRequest& request);
  ConductOrder conduct() const;
  void Begin(const std::string& request_id);
  std::string NewTicket() const;
  bool IsTicketValid(const std::string& ticket) const;

  const int m_slots;
  BootClock m_clock;
  std::atomic<int> m_busy{0};
  mutable std::mutex m_mutex;
  ConductOrder m_conduct;
  std::vector<BeginRecord> m_begins;
  FaultyHandler m_faults;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace papayalift
