/// A TCP proxy on the loopback interface that simulates network faults: delay, loss and reset.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "libraries/loop/event_loop.h"
#include "libraries/soak/link_fault.h"

namespace papayalift {

/// The address that a proxy listens on, or that of its target.
struct LoopbackAddress {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
};

/// Use only on the loop's thread. Bytes that are held back are delivered once the link is open
/// again, or lost if their sender closes or resets the connection first.
class LoopbackProxy {
 public:
  /// Returns kUnavailable if listening on the address fails.
  static absl::StatusOr<std::unique_ptr<LoopbackProxy>> Create(EventLoop& loop,
                                                               const LoopbackAddress& listen,
                                                               LoopbackAddress target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  /// The port that the proxy listens on.
  std::uint16_t port() const;

  void SetFault(const LinkFault& fault);
  /// Resets every open connection in both directions.
  void ResetAll();
  /// Closes every connection; from now on new ones are refused.
  void Close();

 private:
  class Connection;

  LoopbackProxy(EventLoop& loop, int listener, LoopbackAddress target);
  void Accept();
  void Connect(int client);
  void RemoveClosed();

  EventLoop& m_loop;
  int m_listener;
  const LoopbackAddress m_target;
  LinkFault m_fault;
  std::list<std::shared_ptr<Connection>> m_connections;
};

}  // namespace papayalift
