/// A small stand-in for the platform: the key-value service behind the etcd v3 JSON gateway.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/http/http_server.h"
#include "libraries/store/memory_store.h"
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
  PlatformStandIn() = default;

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleRange(const HttpRequest& request);
  HttpResponse HandleTransaction(const HttpRequest& request);
  HttpResponse HandleWatch(const HttpRequest& request);
  HttpResponse ShowMembers(const HttpRequest& request) { return m_members.Show(request); }
  HttpResponse SetMembers(const HttpRequest& request) { return m_members.Set(request); }

  MemoryStore m_store;
  MemberList m_members;
  std::atomic<bool> m_stopping{false};
  std::unique_ptr<HttpServer> m_server;
};

}  // namespace papayalift
