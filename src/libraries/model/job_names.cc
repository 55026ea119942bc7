#include "libraries/model/job_names.h"

#include "libraries/base/enum_names.h"
#include "libraries/base/hash.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<JobState>, 7> kStateNames{{
    {JobState::kQueued, "queued"},
    {JobState::kStarting, "starting"},
    {JobState::kRunning, "running"},
    {JobState::kStopping, "stopping"},
    {JobState::kSucceeded, "succeeded"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

constexpr std::array<EnumName<Urgency>, 2> kUrgencyNames{{
    {Urgency::kNormal, "normal"},
    {Urgency::kUrgent, "urgent"},
}};

}  // namespace

std::string JobStateText(JobState state) { return EnumText(kStateNames, state); }

std::optional<JobState> JobStateFromText(std::string_view text) {
  return EnumFromText(kStateNames, text);
}

std::string UrgencyText(Urgency urgency) { return EnumText(kUrgencyNames, urgency); }

std::optional<Urgency> UrgencyFromText(std::string_view text) {
  return EnumFromText(kUrgencyNames, text);
}

JobId JobIdOf(const WorkspaceId& workspace, const CallerKey& key) {
  std::string name = workspace.text();
  name.push_back('\0');
  name += key.text();
  return JobId(Hash128Hex(name));
}

}  // namespace papayalift
