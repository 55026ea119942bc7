/// The record that the holder of the term writes to the term key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "libraries/store/transaction.h"

namespace papayalift {

struct TermRecord {
  std::string node;
  /// The store deletes the term key when this lease ends.
  StoreLease lease;
  /// Number of the claim within its process.
  std::uint64_t claim = 0;
  /// Processor time that the node may use, in cores.
  double processor_share = 0;
  /// Its holder writes a lease record before it grants leases. Holders of former versions do not.
  bool records_leases = true;

  bool operator==(const TermRecord&) const = default;
};

std::string EncodeTermRecord(const TermRecord& record);
/// Empty if `text` is malformed.
std::optional<TermRecord> DecodeTermRecord(const std::string& text);

}  // namespace papayalift
