#include "libraries/journal/lease_record.h"

#include <limits>

#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

/// Longest time for which a lease may be left: a day.
constexpr std::int64_t kMaxLeasesLeftMs = 86'400'000;
constexpr std::int64_t kMaxNumber = 1LL << 53;

/// `row` is [minion, number, leases left in milliseconds].
SilentMinion DecodeSilentMinion(const Json& row) {
  SilentMinion silent;
  silent.minion = MinionId(row.at(0).get<std::string>());
  silent.number = IntegerOf(row.at(1), 1, kMaxNumber);
  silent.leases_left = Milliseconds(IntegerOf(row.at(2), 0, kMaxLeasesLeftMs));
  return silent;
}

}  // namespace

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  Json silent = Json::array();
  for (const SilentMinion& minion : record.silent_minions) {
    silent.push_back({minion.minion.text(), minion.number, minion.leases_left.count()});
  }
  return Json{{"token", record.token.value()}, {"last", record.last_number}, {"silent", silent}}
      .dump();
}

absl::StatusOr<LeaseRecord> DecodeLeaseRecord(const std::string& text) {
  return DecodeRecord<LeaseRecord>(text, [](const Json& json) {
    LeaseRecord record;
    record.token = FencingToken(IntegerOf(json.at("token"), 1, kMaxNumber));
    record.last_number = IntegerOf(json.at("last"), 0, kMaxNumber);
    for (const Json& row : json.at("silent")) {
      record.silent_minions.push_back(DecodeSilentMinion(row));
    }
    return record;
  });
}

}  // namespace papayalift
