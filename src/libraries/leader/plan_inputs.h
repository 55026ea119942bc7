/// What a planning pass could use of each service, for logs and metrics.
#pragma once

#include <array>
#include <map>
#include <string>

#include "libraries/base/ids.h"
#include "libraries/leader/minion_usability.h"
#include "libraries/work/resources.h"

namespace papayalift {

struct ServiceInputs {
  int usable_minions = 0;
  /// Registered minions that get no work, by cause.
  std::array<int, kUnusableCauses> unusable_minions{};
  Resources capacity;
  Resources free;

  /// Such as "no_report:1 unanswered_call:2"; empty if all registered minions are usable.
  std::string UnusableText() const;
};

struct PlanInputs {
  std::map<ServiceId, ServiceInputs> services;

  void AddUsable(const ServiceId& service, const Resources& capacity, const Resources& free);
  void AddUnusable(const ServiceId& service, UnusableCause cause);
  /// All zeros if no minion of the service is registered.
  ServiceInputs Of(const ServiceId& service) const;
};

}  // namespace papayalift
