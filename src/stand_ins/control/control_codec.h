/// JSON encoding of the stand-ins' control messages.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "stand_ins/control/control_messages.h"

namespace papayalift {

std::string EncodeFaultOrder(const FaultOrder& order);
absl::StatusOr<FaultOrder> DecodeFaultOrder(std::string_view text);
std::string EncodeConductOrder(const ConductOrder& order);
absl::StatusOr<ConductOrder> DecodeConductOrder(std::string_view text);
std::string EncodeWorkerRecord(const WorkerRecord& record);
absl::StatusOr<WorkerRecord> DecodeWorkerRecord(std::string_view text);
std::string EncodeMinionRecord(const MinionRecord& record);
absl::StatusOr<MinionRecord> DecodeMinionRecord(std::string_view text);

}  // namespace papayalift
