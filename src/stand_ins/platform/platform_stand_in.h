/// A stand-in for the platform's key-value service behind the etcd v3 JSON gateway.
///
/// Controls: "POST /control/faults", "POST /control/watches/break", "POST /control/compact", and
/// "GET /control/record", which returns the number of calls so far. To simulate an outage, set a
/// fault on "/" and break the watches.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/http/http_server.h"
#include "libraries/store/memory_store.h"
#include "stand_ins/control/faulty_handler.h"
#include "stand_ins/platform/member_list.h"

namespace papayalift {

class PlatformStandIn {
 public:
  static absl::StatusOr<std::unique_ptr<PlatformStandIn>> Create(const std::string& address,
                                                                 std::uint16_t port);
  ~PlatformStandIn();

  std::uint16_t port() const { return m_server->port(); }
  MemoryStore& store() { return m_store; }

 private:
  PlatformStandIn() : m_faults([this](const HttpRequest& request) { return Handle(request); }) {}

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleRange(const HttpRequest& request);
  HttpResponse HandleTransaction(const HttpRequest& request);
  HttpResponse HandleWatch(const HttpRequest& request);
  HttpResponse ShowMembers(const HttpRequest& request) { return m_members.Show(request); }
  HttpResponse SetMembers(const HttpRequest& request) { return m_members.Set(request); }
  HttpResponse BreakWatches(const HttpRequest& request);
  HttpResponse Compact(const HttpRequest& request);
  HttpResponse HandleRecord(const HttpRequest& request);

  MemoryStore m_store;
  MemberList m_members;
  std::atomic<bool> m_stopping{false};
  /// Incremented to end all open watches: a watch ends once this differs from its value at the
  /// start.
  std::atomic<int> m_watch_generation{0};
  std::atomic<std::int64_t> m_ranges{0};
  std::atomic<std::int64_t> m_transactions{0};
  std::atomic<std::int64_t> m_watches{0};
  FaultyHandler m_faults;
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace papayalift
