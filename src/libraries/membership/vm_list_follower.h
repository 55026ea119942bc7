/// Polls the platform's membership list once a second.
#pragma once

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "libraries/base/joining_thread.h"
#include "libraries/base/stop_signal.h"
#include "libraries/http/http_client.h"
#include "libraries/membership/vm_list.h"

namespace papayalift {

class VmListFollower {
 public:
  /// `address` is "IP:port"; if empty, Start() does nothing.
  VmListFollower(std::string address, std::shared_ptr<HttpClient> client, VmList& vms);
  ~VmListFollower() { Stop(); }

  void Start();
  void Stop();

  /// Reads the list once. On error the known states are kept.
  absl::Status Read();

 private:
  void Run();

  const std::string m_address;
  const std::shared_ptr<HttpClient> m_client;
  VmList& m_vms;
  StopSignal m_stop;
  JoiningThread m_thread;
};

}  // namespace papayalift
