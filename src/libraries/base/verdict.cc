#include "libraries/base/verdict.h"

#include "libraries/base/enum_names.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<Verdict>, 3> kVerdictNames{{
    {Verdict::kRan, "ran"},
    {Verdict::kNotRun, "not run"},
    {Verdict::kMayHaveRun, "may have run"},
}};

}  // namespace

std::string VerdictText(Verdict verdict) { return EnumText(kVerdictNames, verdict); }

std::optional<Verdict> VerdictFromText(std::string_view text) {
  return EnumFromText(kVerdictNames, text);
}

}  // namespace papayalift
