#include "stand_ins/control/fault_names.h"

#include "libraries/base/enum_names.h"

namespace papayalift {

namespace {

constexpr std::array<EnumName<FaultKind>, 8> kKindNames{{
    {FaultKind::kDrop, "drop"},
    {FaultKind::kDelay, "delay"},
    {FaultKind::kDuplicate, "duplicate"},
    {FaultKind::kCut, "cut"},
    {FaultKind::kLoseAnswer, "lose-answer"},
    {FaultKind::kRefuse, "refuse"},
    {FaultKind::kHang, "hang"},
    {FaultKind::kReorder, "reorder"},
}};

constexpr std::array<EnumName<Conduct>, 4> kConductNames{{
    {Conduct::kNormal, "normal"},
    {Conduct::kFailsEverything, "fails-everything"},
    {Conduct::kRefuses, "refuses"},
    {Conduct::kAnswersCrossed, "answers-crossed"},
}};

}  // namespace

std::string FaultKindText(FaultKind kind) { return EnumText(kKindNames, kind); }

std::optional<FaultKind> FaultKindFromText(std::string_view text) {
  return EnumFromText(kKindNames, text);
}

std::string ConductText(Conduct conduct) { return EnumText(kConductNames, conduct); }

std::optional<Conduct> ConductFromText(std::string_view text) {
  return EnumFromText(kConductNames, text);
}

}  // namespace papayalift
