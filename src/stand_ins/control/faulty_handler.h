/// Injects faults between the network and a stand-in, as configured through its controls.
#pragma once

#include <map>
#include <string>

#include "libraries/http/http_server.h"
#include "stand_ins/control/fault_rules.h"

namespace papayalift {

/// Requests under "/control/" are exempt from faults. "POST /control/faults" replaces the rules;
/// other control paths are passed to the stand-in.
class FaultyHandler {
 public:
  /// `handler` serves all requests except "/control/faults".
  explicit FaultyHandler(HttpHandler handler) : m_handler(std::move(handler)) {}

  HttpResponse Handle(const HttpRequest& request);

  /// Removes all rules and wakes all waiting requests, before the stand-in is destroyed.
  void Clear() { m_rules.Replace({}, 1); }

 private:
  HttpResponse HandleOrder(const HttpRequest& request);
  HttpResponse HandleFaulted(const HttpRequest& request, const FaultRule& rule);
  HttpResponse Pass(const HttpRequest& request);

  HttpResponse Drop(const HttpRequest& request, const FaultRule& rule);
  HttpResponse Delay(const HttpRequest& request, const FaultRule& rule);
  HttpResponse Duplicate(const HttpRequest& request, const FaultRule& rule);
  HttpResponse Cut(const HttpRequest& request, const FaultRule& rule);
  HttpResponse LoseAnswer(const HttpRequest& request, const FaultRule& rule);
  HttpResponse Refuse(const HttpRequest& request, const FaultRule& rule);
  HttpResponse Hang(const HttpRequest& request, const FaultRule& rule);
  HttpResponse Reorder(const HttpRequest& request, const FaultRule& rule);

  const HttpHandler m_handler;
  FaultRules m_rules;
};

}  // namespace papayalift
