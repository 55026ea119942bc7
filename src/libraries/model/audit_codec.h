/// Audit entries as JSON.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "libraries/model/audit_entry.h"

namespace papayalift {

std::string EncodeAuditEntry(const AuditEntry& entry);
absl::StatusOr<AuditEntry> DecodeAuditEntry(std::string_view text);

}  // namespace papayalift
