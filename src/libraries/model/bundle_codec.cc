#include "libraries/model/bundle_codec.h"

#include "libraries/model/json_document.h"

namespace papayalift {

std::string EncodeBundleRecord(const BundleRecord& record) {
  return Json{{"version", record.version.value()},
              {"digest", record.digest},
              {"text", record.text},
              {"submitted_by", record.submitted_by.text()},
              {"signed_off", record.sign_off == SignOff::kGiven},
              {"signed_off_by", record.signed_off_by.text()},
              {"submitted_at_ms", record.submitted_at.count()}}
      .dump();
}

absl::StatusOr<BundleRecord> DecodeBundleRecord(std::string_view text) {
  return DecodeRecord<BundleRecord>(text, [](const Json& json) {
    BundleRecord record;
    record.version = BundleVersion(json.at("version").get<std::int64_t>());
    record.digest = json.at("digest").get<std::string>();
    record.text = json.at("text").get<std::string>();
    record.submitted_by = IdAt<OperatorId>(json, "submitted_by");
    record.sign_off = json.value("signed_off", false) ? SignOff::kGiven : SignOff::kMissing;
    record.signed_off_by = IdAt<OperatorId>(json, "signed_off_by");
    record.submitted_at = MillisecondsAt(json, "submitted_at_ms");
    return record;
  });
}

std::string EncodeCurrentBundle(const CurrentBundle& current) {
  return Json{{"version", current.version.value()}}.dump();
}

absl::StatusOr<CurrentBundle> DecodeCurrentBundle(std::string_view text) {
  return DecodeRecord<CurrentBundle>(text, [](const Json& json) {
    return CurrentBundle{BundleVersion(json.at("version").get<std::int64_t>())};
  });
}

}  // namespace papayalift
