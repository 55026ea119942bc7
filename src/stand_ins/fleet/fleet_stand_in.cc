#include "stand_ins/fleet/fleet_stand_in.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "libraries/base/enum_names.h"
#include "libraries/base/try.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

constexpr Resources kMinionCapacity{16'000, 32'768, 8};
constexpr int kMinionsPerRack = 4;
/// Each pending report and watch of each node occupies one connection.
constexpr unsigned int kMaxConnections = 4'000;
constexpr char kControlPrefix[] = "/stand-in/";
constexpr char kEvacuationPrefix[] = "op/evacuate/";

constexpr std::array<EnumName<StoreCallFault>, 3> kStoreFaults{
    {{StoreCallFault::kBusy, "busy"},
     {StoreCallFault::kAnswerLost, "answer-lost"},
     {StoreCallFault::kLate, "late"}}};
constexpr std::array<EnumName<OrderFault>, 4> kOrderFaults{
    {{OrderFault::kLost, "lost"},
     {OrderFault::kAnswerLost, "answer-lost"},
     {OrderFault::kLate, "late"},
     {OrderFault::kRefused, "refused"}}};

std::string QueryValue(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

StepSpec StepOf(const Json& json) {
  StepSpec step;
  step.kind = json.value("gang", false) ? WorkStepKind::kGang : WorkStepKind::kIndependentTasks;
  step.count = json.value("count", 1);
  step.needs = Resources{json.value("cpu", std::int64_t{0}), json.value("memMb", std::int64_t{0}),
                         json.value("gpu", std::int64_t{0})};
  step.after = json.value("after", std::vector<int>());
  return step;
}

/// Decodes a job in the format that consumers submit; "deadly" lists the indexes of a step's tasks
/// that crash their minions. Throws the JSON library's exceptions.
RegisteredJob ReadRegisteredJob(const HttpRequest& request) {
  RegisteredJob job;
  const Json body = Json::parse(request.body);
  for (const Json& step : body.at("phases")) {
    for (const int index : step.value("deadly", std::vector<int>())) {
      job.deadly_tasks.push_back(DeadlyTask{static_cast<int>(job.work.steps.size()), index});
    }
    job.work.steps.push_back(StepOf(step));
  }
  job.duration = Milliseconds(std::strtol(QueryValue(request, "duration").c_str(), nullptr, 10));
  return job;
}

/// "back=new" lets the minion come back under a new id, "back=never" not at all.
MinionOutage OutageOf(const HttpRequest& request) {
  MinionOutage outage;
  const std::string back = QueryValue(request, "back");
  if (back == "new") {
    outage.comes_back = MinionReturn::kNewId;
  } else if (back == "never") {
    outage.comes_back = MinionReturn::kNever;
  }
  return outage;
}

template <typename Fault, std::size_t kSize>
std::deque<Fault> FaultsOf(const HttpRequest& request,
                           const std::array<EnumName<Fault>, kSize>& names) {
  const std::optional<Fault> fault = EnumFromText(names, QueryValue(request, "fault"));
  if (!fault.has_value()) {
    return {};
  }
  constexpr std::size_t kMaxFaults = 1'000;
  const std::string count = QueryValue(request, "count");
  return std::deque<Fault>(
      count.empty() ? 1
                    : std::min<std::size_t>(kMaxFaults, std::strtoul(count.c_str(), nullptr, 10)),
      *fault);
}

}  // namespace

FleetStandIn::FleetStandIn(EventLoop& loop)
    : m_loop(loop),
      m_store(loop),
      m_minions(loop, m_store),
      m_standstill(loop, m_minions),
      m_store_wire(loop, m_store),
      m_minion_wire(m_minions) {}

absl::StatusOr<std::unique_ptr<FleetStandIn>> FleetStandIn::Create(EventLoop& loop,
                                                                   std::uint16_t port, int minions,
                                                                   MinionPorts minion_ports) {
  std::unique_ptr<FleetStandIn> stand_in(new FleetStandIn(loop));
  stand_in->m_minions.AcceptUnknownJobs();
  for (int number = 0; number < minions; ++number) {
    const int minion_port = minion_ports.first == 0 ? port : minion_ports.first + number;
    stand_in->m_minions.SetAdvertisedAddress(fmt::format("127.0.0.1:{}", minion_port));
    const MinionId id(fmt::format("minion-{}", number));
    stand_in->m_minions.Add(id, RackId(fmt::format("rack-{}", number / kMinionsPerRack)),
                            kMinionCapacity);
    if (minion_ports.listeners == MinionListeners::kSeparate) {
      stand_in->m_minion_servers[id] =
          TRY(stand_in->Serve(static_cast<std::uint16_t>(minion_port)));
    }
  }
  stand_in->m_server = TRY(stand_in->Serve(port));
  stand_in->m_standstill.Start();
  return stand_in;
}

absl::StatusOr<std::unique_ptr<AsyncHttpServer>> FleetStandIn::Serve(std::uint16_t port) {
  HttpServerLimits limits;
  limits.connections = kMaxConnections;
  return AsyncHttpServer::Create(m_loop, "127.0.0.1", port, limits,
                                 [this](const HttpRequest& request, const HttpResponder& respond) {
                                   Handle(request, respond);
                                 });
}

void FleetStandIn::Handle(const HttpRequest& request, const HttpResponder& respond) {
  if (request.path.starts_with(kControlPrefix)) {
    HandleControl(request, respond);
  } else if (request.path.starts_with("/kv-")) {
    m_store_wire.Handle(request, respond);
  } else {
    m_minion_wire.Handle(request, respond);
  }
}

void FleetStandIn::HandleControl(const HttpRequest& request, const HttpResponder& respond) {
  HttpResponse response;
  try {
    response = Control(request);
  } catch (const nlohmann::json::exception& error) {
    response.status = HttpStatus::kBadRequest;
    response.body = error.what();
  }
  respond(response);
}

HttpResponse FleetStandIn::Control(const HttpRequest& request) {
  const std::string action = request.path.substr(std::string(kControlPrefix).size());
  HttpResponse response;
  if (action == "put" || action == "remove") {
    WriteAsOperator(request, action == "put" ? WriteKind::kPut : WriteKind::kDelete);
  } else if (action == "forget") {
    m_store.CompactHistory();
  } else if (action == "fail-store") {
    m_store_wire.FailNext(FaultsOf(request, kStoreFaults), QueryValue(request, "key"));
  } else if (action == "fail-minion") {
    m_minions.FailNextOrders(MinionId(QueryValue(request, "minion")),
                             FaultsOf(request, kOrderFaults));
  } else if (action == "restart") {
    m_minions.Restart(MinionId(QueryValue(request, "minion")));
  } else if (action == "crash") {
    CrashMinion(request);
  } else if (action == "drain") {
    const Milliseconds notice(std::strtol(QueryValue(request, "notice").c_str(), nullptr, 10));
    m_minions.Drain(MinionId(QueryValue(request, "minion")), notice);
  } else if (action == "know") {
    m_minions.RegisterJob(JobId(QueryValue(request, "job")), ReadRegisteredJob(request));
  } else if (action == "starts") {
    response.body = std::to_string(m_minions.starts(JobId(QueryValue(request, "job"))));
  } else if (action == "jobs") {
    response.body = RecordsText();
  } else if (action == "running") {
    Json minions = Json::array();
    for (const MinionId& minion : m_minions.RunningOn(JobId(QueryValue(request, "job")))) {
      minions.push_back(minion.text());
    }
    response.body = minions.dump();
  } else if (action == "value") {
    const StoreItem* const item = m_store.Find(QueryValue(request, "key"));
    response.body = item == nullptr ? "" : item->value;
  } else if (action == "broken") {
    response.body = Json(m_minions.violations()).dump();
  } else {
    response.status = HttpStatus::kNotFound;
  }
  return response;
}

void FleetStandIn::WriteAsOperator(const HttpRequest& request, WriteKind kind) {
  const std::string key = QueryValue(request, "key");
  if (kind == WriteKind::kPut) {
    m_store.Put(key, request.body);
  } else {
    m_store.Remove(key);
  }
  if (key.starts_with(kEvacuationPrefix)) {
    m_minions.SetEvacuatedSince(
        kind == WriteKind::kPut ? std::optional<Milliseconds>(m_loop.clock().Now()) : std::nullopt);
  }
}

void FleetStandIn::CrashMinion(const HttpRequest& request) {
  const MinionId minion(QueryValue(request, "minion"));
  const MinionOutage outage = OutageOf(request);
  m_minions.Crash(minion, outage);
  if (outage.comes_back == MinionReturn::kNever) {
    m_minion_servers.erase(minion);
  }
}

std::string FleetStandIn::RecordsText() const {
  Json json = Json::array();
  for (const auto& [job, record] : m_minions.Records()) {
    json.push_back({{"job", job.text()},
                    {"starts", record.starts},
                    {"last_order_ms", record.last_order_at.count()},
                    {"running", record.running},
                    {"done", record.done},
                    {"stood_ms", m_standstill.LongestOf(job).count()}});
  }
  return json.dump();
}

}  // namespace papayalift
