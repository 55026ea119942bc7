/// Converts the enumerations of jobs to and from text.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libraries/model/job_record.h"

namespace papayalift {

std::string JobStateText(JobState state);
std::optional<JobState> JobStateFromText(std::string_view text);
std::string UrgencyText(Urgency urgency);
std::optional<Urgency> UrgencyFromText(std::string_view text);

}  // namespace papayalift
