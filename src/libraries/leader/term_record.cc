#include "libraries/leader/term_record.h"

#include <fmt/format.h>

#include <sstream>

namespace papayalift {

namespace {

constexpr char kRecordsLeases[] = "records-leases";

}  // namespace

std::string EncodeTermRecord(const TermRecord& record) {
  return fmt::format("{} {} {} {} {}", record.node, record.lease.value(), record.claim,
                     record.processor_share, record.records_leases ? kRecordsLeases : "");
}

std::optional<TermRecord> DecodeTermRecord(const std::string& text) {
  std::istringstream words(text);
  TermRecord record;
  std::int64_t lease = 0;
  words >> record.node >> lease >> record.claim >> record.processor_share;
  if (!words) {
    return std::nullopt;
  }
  record.lease = StoreLease(lease);
  std::string flag;
  words >> flag;
  record.records_leases = flag == kRecordsLeases;
  return record;
}

}  // namespace papayalift
