#include "libraries/leader/plan_inputs.h"

namespace papayalift {

std::string ServiceInputs::UnusableText() const {
  std::string text;
  for (std::size_t cause = 0; cause < kUnusableCauses; ++cause) {
    if (unusable_minions[cause] == 0) {
      continue;
    }
    text += text.empty() ? "" : " ";
    text += UnusableCauseText(static_cast<UnusableCause>(cause)) + ":" +
            std::to_string(unusable_minions[cause]);
  }
  return text;
}

void PlanInputs::AddUsable(const ServiceId& service, const Resources& capacity,
                           const Resources& free) {
  ServiceInputs& inputs = services[service];
  ++inputs.usable_minions;
  inputs.capacity += capacity;
  inputs.free += free;
}

void PlanInputs::AddUnusable(const ServiceId& service, UnusableCause cause) {
  ++services[service].unusable_minions[static_cast<std::size_t>(cause)];
}

ServiceInputs PlanInputs::Of(const ServiceId& service) const {
  const auto found = services.find(service);
  return found == services.end() ? ServiceInputs{} : found->second;
}

}  // namespace papayalift
