#include "libraries/membership/vm_list_follower.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/base/try.h"
#include "libraries/log/log_event.h"
#include "libraries/membership/vm_list_codec.h"

namespace papayalift {

namespace {

constexpr Milliseconds kReadInterval{1'000};
constexpr Milliseconds kReadTimeout{1'000};

}  // namespace

VmListFollower::VmListFollower(std::string address, std::shared_ptr<HttpClient> client, VmList& vms)
    : m_address(std::move(address)), m_client(std::move(client)), m_vms(vms) {}

void VmListFollower::Start() {
  if (!m_address.empty()) {
    m_thread.Start([this] { Run(); });
  }
}

void VmListFollower::Stop() {
  m_stop.Raise();
  m_thread.Join();
}

absl::Status VmListFollower::Read() {
  HttpCall call;
  call.method = HttpMethod::kGet;
  call.url = fmt::format("http://{}/v1/members", m_address);
  call.timeout = kReadTimeout;
  const HttpOutcome outcome = m_client->Send(call);
  if (outcome.result != HttpCallResult::kAnswered || outcome.status != HttpStatus::kOk) {
    return absl::UnavailableError(fmt::format("membership list request failed: {}", outcome.error));
  }
  m_vms.Update(TRY(DecodeVmList(outcome.body)));
  return absl::OkStatus();
}

void VmListFollower::Run() {
  bool readable = true;
  while (!m_stop.raised()) {
    const absl::Status read = Read();
    if (readable && !read.ok()) {
      LogEvent(LogLevel::kWarning, "vm_list_follower", "can't read the membership list")
          .Reason(std::string(read.message()))
          .Write();
    }
    readable = read.ok();
    m_stop.WaitFor(kReadInterval);
  }
}

}  // namespace papayalift
