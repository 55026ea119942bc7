#include "stand_ins/fleet/minion_wire.h"

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

HttpResponse Answer(const Json& body, HttpStatus status = HttpStatus::kOk) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

std::int64_t ClockOf(const OrderAnswer& answer) {
  return answer.clock.value_or(MinionTime(0)).value();
}

HttpResponse NoAnswer() {
  HttpResponse response;
  response.delivery = HttpDelivery::kNone;
  return response;
}

/// Sends no response to an unclear result: FleetMinions reports it only after the caller's timeout.
void RespondToOrder(const OrderAnswer& answer, const HttpResponder& respond) {
  switch (answer.result) {
    case OrderResult::kDone:
      respond(Answer(Json{{"clockMs", ClockOf(answer)}}));
      return;
    case OrderResult::kFenced:
    case OrderResult::kStaleAttempt:
    case OrderResult::kLeaseExpired:
    case OrderResult::kNoCapacity:
      respond(Answer(Json{{"clockMs", ClockOf(answer)}, {"reason", answer.detail}},
                     HttpStatus::kConflict));
      return;
    case OrderResult::kRefused:
      respond(Answer(Json::object(), HttpStatus::kUnavailable));
      return;
    case OrderResult::kOtherMinion:
      respond(Answer(Json::object(), HttpStatus::kMisdirected));
      return;
    case OrderResult::kNotSent:
    case OrderResult::kNoListener:
    case OrderResult::kUnclear:
      respond(NoAnswer());
      return;
  }
}

Json EncodeReport(const HoldReport& report) {
  static constexpr const char* kEndKindNames[] = {"done",   "failed", "stopped",
                                                  "lapsed", "broken", "alone"};
  Json body{{"clockMs", report.clock.value()},
            {"born", report.incarnation.value()},
            {"active", Json::array()},
            {"ended", Json::array()}};
  for (const ActiveRun& run : report.active) {
    body["active"].push_back(
        {FormatTaskName(run.task), run.attempt.value(), run.checkpoint, run.percent});
  }
  for (const EndedRun& end : report.ended) {
    body["ended"].push_back({end.number.value(), FormatTaskName(end.task), end.attempt.value(),
                             kEndKindNames[static_cast<std::size_t>(end.kind)], end.checkpoint});
  }
  return body;
}

StartOrder DecodeStart(const Json& json) {
  StartOrder order;
  order.task = ParseTaskName(json.at("task").get<std::string>()).value_or(TaskName{});
  order.attempt = AttemptNumber(json.at("attempt").get<int>());
  order.payload = json.value("spec", std::string());
  order.lease_until = MinionTime(json.at("deadlineMs").get<std::int64_t>());
  order.token = FencingToken(json.value("fencingToken", std::int64_t{0}));
  order.checkpoint = json.value("checkpoint", std::string());
  return order;
}

StopOrder DecodeStop(const Json& json) {
  return StopOrder{ParseTaskName(json.at("task").get<std::string>()).value_or(TaskName{}),
                   AttemptNumber(json.at("attempt").get<int>()),
                   FencingToken(json.value("fencingToken", std::int64_t{0}))};
}

HoldOrder DecodeHold(const Json& json) {
  HoldOrder order;
  order.token = FencingToken(json.value("fencingToken", std::int64_t{0}));
  order.acknowledged = EndNumber(json.value("ackCursor", std::int64_t{0}));
  order.wait = MillisecondsAt(json, "waitMs");
  if (json.contains("deadlineMs")) {
    order.lease_until = MinionTime(json.at("deadlineMs").get<std::int64_t>());
  }
  return order;
}

}  // namespace

bool MinionWire::IsToFormerProcess(const HttpRequest& request, const MinionId& called) const {
  const std::optional<Milliseconds> listening_since =
      m_minions.ListeningSince(m_minions.NewestOn(called));
  // Within one millisecond the order is not known: a connection that is lost harms no caller.
  return listening_since.has_value() && request.connection_opened_at <= listening_since;
}

void MinionWire::Handle(const HttpRequest& request, const HttpResponder& respond) {
  const auto instance = request.headers.find("x-expect-instance");
  if (instance == request.headers.end() || !m_minions.Has(MinionId(instance->second))) {
    respond(Answer(Json::object(), HttpStatus::kMisdirected));
    return;
  }
  const MinionAddress minion{MinionId(instance->second), ""};
  if (IsToFormerProcess(request, minion.id)) {
    respond(NoAnswer());
    return;
  }
  const auto respond_to_order = [respond](const OrderAnswer& answer) {
    RespondToOrder(answer, respond);
  };
  try {
    const Json json = Json::parse(request.body);
    if (request.path == "/run-start") {
      m_minions.Start(minion, DecodeStart(json), respond_to_order);
    } else if (request.path == "/run-stop") {
      m_minions.Stop(minion, DecodeStop(json), respond_to_order);
    } else {
      m_minions.Hold(minion, DecodeHold(json), [respond](const HoldAnswer& answer) {
        if (answer.result == OrderResult::kDone) {
          respond(Answer(EncodeReport(answer.report)));
        } else if (answer.result == OrderResult::kFenced) {
          respond(Answer(Json{{"reason", "fence"}}, HttpStatus::kConflict));
        } else {
          respond(NoAnswer());
        }
      });
    }
  } catch (const nlohmann::json::exception& error) {
    respond(Answer(Json{{"error", error.what()}}, HttpStatus::kBadRequest));
  }
}

}  // namespace papayalift
