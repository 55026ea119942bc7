#include "stand_ins/control/faulty_handler.h"

#include <array>
#include <utility>

#include "stand_ins/control/control_codec.h"

namespace papayalift {

namespace {

/// Longer than any client timeout.
constexpr Milliseconds kLongestHang{120'000};

HttpResponse LostResponse() {
  HttpResponse response;
  response.delivery = HttpDelivery::kNone;
  return response;
}

Milliseconds HangOf(const FaultRule& rule) {
  return rule.delay > Milliseconds(0) ? rule.delay : kLongestHang;
}

}  // namespace

HttpResponse FaultyHandler::Handle(const HttpRequest& request) {
  if (request.path == "/control/faults") {
    return HandleOrder(request);
  }
  if (request.path.starts_with("/control/")) {
    return m_handler(request);
  }
  const std::optional<FaultRule> rule = m_rules.Draw(request.path);
  return rule.has_value() ? HandleFaulted(request, *rule) : Pass(request);
}

HttpResponse FaultyHandler::HandleOrder(const HttpRequest& request) {
  HttpResponse response;
  absl::StatusOr<FaultOrder> order = DecodeFaultOrder(request.body);
  if (!order.ok()) {
    response.status = HttpStatus::kBadRequest;
    response.body = std::string(order.status().message());
    return response;
  }
  m_rules.Replace(std::move(order->rules), order->seed);
  response.body = "{}";
  return response;
}

HttpResponse FaultyHandler::HandleFaulted(const HttpRequest& request, const FaultRule& rule) {
  struct Effect {
    FaultKind kind;
    HttpResponse (FaultyHandler::*apply)(const HttpRequest&, const FaultRule&);
  };
  static constexpr std::array<Effect, 8> kEffects{{
      {FaultKind::kDrop, &FaultyHandler::Drop},
      {FaultKind::kDelay, &FaultyHandler::Delay},
      {FaultKind::kDuplicate, &FaultyHandler::Duplicate},
      {FaultKind::kCut, &FaultyHandler::Cut},
      {FaultKind::kLoseAnswer, &FaultyHandler::LoseAnswer},
      {FaultKind::kRefuse, &FaultyHandler::Refuse},
      {FaultKind::kHang, &FaultyHandler::Hang},
      {FaultKind::kReorder, &FaultyHandler::Reorder},
  }};
  for (const Effect& effect : kEffects) {
    if (effect.kind == rule.kind) {
      return (this->*effect.apply)(request, rule);
    }
  }
  return Pass(request);
}

HttpResponse FaultyHandler::Pass(const HttpRequest& request) {
  HttpResponse response = m_handler(request);
  m_rules.RequestPassed();
  return response;
}

HttpResponse FaultyHandler::Drop(const HttpRequest& /*request*/, const FaultRule& /*rule*/) {
  return LostResponse();
}

HttpResponse FaultyHandler::Delay(const HttpRequest& request, const FaultRule& rule) {
  m_rules.Wait(rule.delay);
  return Pass(request);
}

HttpResponse FaultyHandler::Duplicate(const HttpRequest& request, const FaultRule& /*rule*/) {
  Pass(request);
  return Pass(request);
}

HttpResponse FaultyHandler::Cut(const HttpRequest& request, const FaultRule& /*rule*/) {
  HttpResponse response = Pass(request);
  response.delivery = HttpDelivery::kTruncated;
  return response;
}

HttpResponse FaultyHandler::LoseAnswer(const HttpRequest& request, const FaultRule& /*rule*/) {
  Pass(request);
  return LostResponse();
}

HttpResponse FaultyHandler::Refuse(const HttpRequest& /*request*/, const FaultRule& /*rule*/) {
  HttpResponse response;
  response.status = HttpStatus::kUnavailable;
  response.body = R"({"error":"rejected by an injected fault"})";
  return response;
}

HttpResponse FaultyHandler::Hang(const HttpRequest& /*request*/, const FaultRule& rule) {
  m_rules.Wait(HangOf(rule));
  return LostResponse();
}

HttpResponse FaultyHandler::Reorder(const HttpRequest& request, const FaultRule& rule) {
  m_rules.WaitForLaterRequest(rule.delay);
  return Pass(request);
}

}  // namespace papayalift
