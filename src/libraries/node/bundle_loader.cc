#include "libraries/node/bundle_loader.h"

#include <fmt/format.h>

#include "libraries/base/try.h"
#include "libraries/log/log_event.h"
#include "libraries/model/bundle_codec.h"
#include "libraries/model/bundle_file.h"
#include "libraries/model/keys.h"

namespace papayalift {

namespace {

absl::StatusOr<BundleInForce> ReadBundle(KeyValueService& store, BundleVersion version) {
  const RangeAnswer answer = TRY(store.Range(SingleKey(keys::BundleKey(version))));
  if (answer.records.empty()) {
    return absl::NotFoundError("the record of the bundle is missing");
  }
  const BundleRecord record = TRY(DecodeBundleRecord(answer.records.front().value));
  BundleInForce in_force;
  in_force.version = version;
  in_force.bundle = TRY(ParseBundle(record.text, fmt::format("bundle {}", version.value())));
  return in_force;
}

}  // namespace

void BundleLoader::LoadRolledBundle() {
  const BundleVersion wanted = m_state.rolled_version();
  if (wanted <= m_loaded) {
    return;
  }
  absl::StatusOr<BundleInForce> bundle = ReadBundle(m_store, wanted);
  if (!bundle.ok()) {
    LogEvent(LogLevel::kError, "bundle_loader", "the rolled bundle can't be loaded")
        .Version(wanted)
        .Reason(std::string(bundle.status().message()))
        .Write();
    return;
  }
  m_loaded = wanted;
  m_state.SetBundle(std::make_shared<const BundleInForce>(*std::move(bundle)));
  LogEvent(LogLevel::kInfo, "bundle_loader", "bundle in force").Version(wanted).Write();
}

}  // namespace papayalift
