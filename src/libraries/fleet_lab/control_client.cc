#include "libraries/fleet_lab/control_client.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/model/json_document.h"
#include "stand_ins/control/control_codec.h"

namespace papayalift {

namespace {

constexpr Milliseconds kControlTimeout{2'000};
constexpr Milliseconds kRecordTimeout{1'000};

HttpCall RecordCall(const std::string& address, const std::string& query) {
  HttpCall call;
  call.method = HttpMethod::kGet;
  call.url = "http://" + address + "/control/record" + query;
  call.timeout = kRecordTimeout;
  return call;
}

std::vector<MinionSpec> MinionsOf(const Bundle& bundle) {
  std::vector<MinionSpec> minions;
  for (const ServiceSpec& service : bundle.services) {
    minions.insert(minions.end(), service.minions.begin(), service.minions.end());
  }
  return minions;
}

}  // namespace

absl::Status ControlClient::SetFaults(const std::string& name, const FaultOrder& order) {
  return Post(name, "/control/faults", EncodeFaultOrder(order));
}

absl::Status ControlClient::SetConduct(const std::string& name, const ConductOrder& order) {
  return Post(name, "/control/conduct", EncodeConductOrder(order));
}

std::map<WorkerId, WorkerRecord> ControlClient::NewWorkerRecords() {
  std::vector<HttpCall> calls;
  calls.reserve(m_fleet.bundle().workers.size());
  for (const WorkerSpec& worker : m_fleet.bundle().workers) {
    const Position& position = m_worker_positions[worker.id];
    calls.push_back(RecordCall(
        worker.address, fmt::format("?since={}&renewals={}", position.starts, position.renewals)));
  }
  const std::vector<HttpOutcome> outcomes = m_client->SendAll(calls);
  std::map<WorkerId, WorkerRecord> records;
  for (std::size_t index = 0; index < outcomes.size(); ++index) {
    absl::StatusOr<WorkerRecord> record = DecodeWorkerRecord(outcomes[index].body);
    if (outcomes[index].result != HttpCallResult::kAnswered || !record.ok()) {
      continue;
    }
    const WorkerId& worker = m_fleet.bundle().workers[index].id;
    m_worker_positions[worker].starts += record->starts.size();
    m_worker_positions[worker].renewals += record->renewals.size();
    records[worker] = *std::move(record);
  }
  return records;
}

std::map<MinionId, MinionRecord> ControlClient::NewMinionRecords() {
  const std::vector<MinionSpec> minions = MinionsOf(m_fleet.bundle());
  std::vector<HttpCall> calls;
  calls.reserve(minions.size());
  for (const MinionSpec& minion : minions) {
    calls.push_back(
        RecordCall(minion.address, fmt::format("?since={}", m_minion_positions[minion.id])));
  }
  const std::vector<HttpOutcome> outcomes = m_client->SendAll(calls);
  std::map<MinionId, MinionRecord> records;
  for (std::size_t index = 0; index < outcomes.size(); ++index) {
    absl::StatusOr<MinionRecord> record = DecodeMinionRecord(outcomes[index].body);
    if (outcomes[index].result != HttpCallResult::kAnswered || !record.ok()) {
      continue;
    }
    m_minion_positions[minions[index].id] += record->begins.size();
    records[minions[index].id] = *std::move(record);
  }
  return records;
}

std::map<std::string, std::int64_t> ControlClient::PlatformCalls() {
  std::map<std::string, std::int64_t> calls;
  const std::string address = m_fleet.AddressOf("platform");
  if (address.empty()) {
    return calls;
  }
  const absl::StatusOr<Json> json = ParseJsonObject(m_client->Send(RecordCall(address, "")).body);
  if (json.ok()) {
    for (auto entry = json->begin(); entry != json->end(); ++entry) {
      calls[entry.key()] = entry.value().is_number() ? entry.value().get<std::int64_t>() : 0;
    }
  }
  return calls;
}

absl::Status ControlClient::Post(const std::string& name, const std::string& path,
                                 std::string body) {
  const std::string address = m_fleet.AddressOf(name);
  if (address.empty()) {
    return absl::NotFoundError(fmt::format("'{}' is not a stand-in of this fleet", name));
  }
  HttpCall call;
  call.url = "http://" + address + path;
  call.body = std::move(body);
  call.timeout = kControlTimeout;
  const HttpOutcome outcome = m_client->Send(call);
  if (outcome.result != HttpCallResult::kAnswered || outcome.status != HttpStatus::kOk) {
    return absl::UnavailableError(
        fmt::format("{} on {}: {}{}", path, name, outcome.error, outcome.body));
  }
  return absl::OkStatus();
}

}  // namespace papayalift
