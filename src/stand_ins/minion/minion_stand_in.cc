#include "stand_ins/minion/minion_stand_in.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

#include "libraries/calls/call_codec.h"
#include "libraries/http/path_route.h"
#include "stand_ins/control/control_codec.h"
#include "stand_ins/control/record_query.h"

namespace papayalift {

namespace {

/// Validity of a ticket, measured on the minion's own clock.
constexpr Milliseconds kTicketLease{1'500};
constexpr char kOtherRequest[] = "another-request";

}  // namespace

absl::StatusOr<std::unique_ptr<MinionStandIn>> MinionStandIn::Create(const std::string& address,
                                                                     std::uint16_t port,
                                                                     int slots) {
  std::unique_ptr<MinionStandIn> minion(new MinionStandIn(slots));
  FaultyHandler* const faults = &minion->m_faults;
  absl::StatusOr<std::unique_ptr<HttpServer>> server =
      HttpServer::Create(address, port, HttpServerLimits{},
                         [faults](const HttpRequest& request) { return faults->Handle(request); });
  if (!server.ok()) {
    return server.status();
  }
  minion->m_server = *std::move(server);
  return minion;
}

MinionStandIn::~MinionStandIn() {
  m_faults.Clear();
  m_server.reset();
}

HttpResponse MinionStandIn::Handle(const HttpRequest& request) {
  static constexpr std::array<PathRoute<MinionStandIn>, 4> kRoutes{{
      {"/v1/report", &MinionStandIn::Report},
      {"/v1/call", &MinionStandIn::Serve},
      {"/control/conduct", &MinionStandIn::HandleConduct},
      {"/control/record", &MinionStandIn::HandleRecord},
  }};
  return RouteByPath(*this, kRoutes, request);
}

HttpResponse MinionStandIn::Report(const HttpRequest& /*request*/) {
  MinionAnswer report;
  report.ticket = NewTicket();
  report.busy_slots = m_busy.load();
  HttpResponse response;
  response.body = EncodeMinionAnswer(report);
  return response;
}

HttpResponse MinionStandIn::Serve(const HttpRequest& request) {
  HttpResponse response;
  const absl::StatusOr<MinionCall> call = DecodeMinionCall(request.body);
  if (!call.ok()) {
    response.status = HttpStatus::kBadRequest;
    return response;
  }
  const ConductOrder conduct = this->conduct();
  MinionAnswer answer;
  answer.request_id =
      conduct.conduct == Conduct::kAnswersCrossed ? kOtherRequest : call->request_id;
  answer.ticket = NewTicket();
  if (!IsTicketValid(call->ticket)) {
    answer.refusal = "the ticket is stale";
    response.status = HttpStatus::kConflict;
  } else if (conduct.conduct == Conduct::kRefuses) {
    answer.refusal = "no slot is free";
    response.status = HttpStatus::kTooManyRequests;
  } else if (m_busy.fetch_add(1) >= m_slots) {
    --m_busy;
    answer.refusal = "no slot is free";
    response.status = HttpStatus::kTooManyRequests;
  } else {
    Begin(call->request_id);
    std::this_thread::sleep_for(conduct.work);
    answer.result = "done: " + call->payload;
    --m_busy;
  }
  answer.busy_slots = m_busy.load();
  response.body = EncodeMinionAnswer(answer);
  return response;
}

HttpResponse MinionStandIn::HandleConduct(const HttpRequest& request) {
  HttpResponse response;
  const absl::StatusOr<ConductOrder> order = DecodeConductOrder(request.body);
  if (!order.ok()) {
    response.status = HttpStatus::kBadRequest;
    response.body = std::string(order.status().message());
    return response;
  }
  Behave(*order);
  response.body = "{}";
  return response;
}

HttpResponse MinionStandIn::HandleRecord(const HttpRequest& request) {
  HttpResponse response;
  response.body = EncodeMinionRecord(RecordSince(SinceOf(request)));
  return response;
}

std::int64_t MinionStandIn::served() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return static_cast<std::int64_t>(m_begins.size());
}

MinionRecord MinionStandIn::RecordSince(std::size_t since) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const std::size_t first = std::min(since, m_begins.size());
  MinionRecord record;
  record.begins.assign(m_begins.begin() + static_cast<std::ptrdiff_t>(first), m_begins.end());
  return record;
}

void MinionStandIn::Behave(const ConductOrder& order) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_conduct = order;
}

ConductOrder MinionStandIn::conduct() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_conduct;
}

void MinionStandIn::Begin(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_begins.push_back(BeginRecord{request_id, m_clock.Now()});
}

std::string MinionStandIn::NewTicket() const { return std::to_string(m_clock.Now().count()); }

bool MinionStandIn::IsTicketValid(const std::string& ticket) const {
  std::int64_t issued = 0;
  const std::from_chars_result parsed =
      std::from_chars(ticket.data(), ticket.data() + ticket.size(), issued);
  if (parsed.ec != std::errc{}) {
    return false;
  }
  const Milliseconds age = m_clock.Now() - Milliseconds(issued);
  return age >= Milliseconds(0) && age < kTicketLease;
}

}  // namespace papayalift
