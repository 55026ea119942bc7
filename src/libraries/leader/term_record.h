/// What the holder of the term writes into the store about itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "libraries/store/transaction.h"

namespace papayalift {

struct TermRecord {
  std::string node;
  /// Ends the term when it ends.
  StoreLease lease;
  /// Tells the claims of one process apart.
  std::uint64_t claim = 0;
  /// Share of a core that the node may use.
  double processor_share = 0;

  bool operator==(const TermRecord&) const = default;
};

std::string EncodeTermRecord(const TermRecord& record);
/// Empty where the text is no such record.
std::optional<TermRecord> DecodeTermRecord(const std::string& text);

}  // namespace papayalift
