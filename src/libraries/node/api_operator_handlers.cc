/// The part of the API that operators use: zones and bundles.
#include "libraries/model/bundle_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/zone_codec.h"
#include "libraries/node/api_answers.h"
#include "libraries/node/api_request.h"
#include "libraries/node/api_server.h"

namespace papayalift {

HttpResponse ApiServer::ListZones(const HttpRequest& /*request*/) {
  const absl::StatusOr<RangeAnswer> answer = m_parts.store.Range(SingleKey(keys::kZones));
  if (!answer.ok()) {
    return ErrorAnswer(answer.status());
  }
  ZoneTable zones;
  if (!answer->records.empty()) {
    const absl::StatusOr<ZoneTable> decoded = DecodeZoneTable(answer->records.front().value);
    if (!decoded.ok()) {
      return ErrorAnswer(decoded.status());
    }
    zones = *decoded;
  }
  return ZonesAnswer(zones, *m_parts.state.View());
}

HttpResponse ApiServer::ChangeZone(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> asked = DecodeOperatorRequest(request.body);
  if (!asked.ok()) {
    return ErrorAnswer(asked.status());
  }
  if (asked->state != "in" && asked->state != "out") {
    return ErrorAnswer(absl::InvalidArgumentError("'state' must be \"in\" or \"out\""));
  }
  ZoneChange change;
  change.zone = ZoneId(PathPart(request.path, 2));
  change.state = asked->state == "in" ? ZoneState::kIn : ZoneState::kOut;
  change.actor = asked->actor;
  change.reason = asked->reason;
  const absl::StatusOr<ZoneTable> zones = m_parts.zones.Change(change);
  return zones.ok() ? ZonesAnswer(*zones, *m_parts.state.View()) : ErrorAnswer(zones.status());
}

HttpResponse ApiServer::SubmitBundle(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> asked = DecodeOperatorRequest(request.body);
  if (!asked.ok()) {
    return ErrorAnswer(asked.status());
  }
  const absl::StatusOr<BundleRecord> record = m_parts.bundles.Submit(asked->text, asked->actor);
  return record.ok() ? JsonResponse(EncodeBundleRecord(*record)) : ErrorAnswer(record.status());
}

HttpResponse ApiServer::SignOffBundle(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> asked = DecodeOperatorRequest(request.body);
  if (!asked.ok()) {
    return ErrorAnswer(asked.status());
  }
  const BundleVersion version(NumberOr(PathPart(request.path, 2), 0));
  const absl::StatusOr<BundleRecord> record =
      m_parts.bundles.SignOff(version, asked->digest, asked->actor);
  return record.ok() ? JsonResponse(EncodeBundleRecord(*record)) : ErrorAnswer(record.status());
}

HttpResponse ApiServer::RollBundle(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> asked = DecodeOperatorRequest(request.body);
  if (!asked.ok()) {
    return ErrorAnswer(asked.status());
  }
  const BundleVersion version(NumberOr(PathPart(request.path, 2), 0));
  const absl::StatusOr<CurrentBundle> current =
      m_parts.bundles.Roll(version, asked->seen, asked->actor);
  return current.ok() ? JsonResponse(EncodeCurrentBundle(*current)) : ErrorAnswer(current.status());
}

HttpResponse ApiServer::ShowBundle(const HttpRequest& request) {
  const BundleVersion version(NumberOr(PathPart(request.path, 2), 0));
  const absl::StatusOr<BundleRecord> record = m_parts.bundles.Read(version);
  return record.ok() ? JsonResponse(EncodeBundleRecord(*record)) : ErrorAnswer(record.status());
}

HttpResponse ApiServer::BundleHistory(const HttpRequest& /*request*/) {
  const absl::StatusOr<std::vector<BundleRecord>> history = m_parts.bundles.History();
  if (!history.ok()) {
    return ErrorAnswer(history.status());
  }
  const absl::StatusOr<CurrentBundle> current = m_parts.bundles.Current();
  return current.ok() ? BundleHistoryAnswer(*history, *current) : ErrorAnswer(current.status());
}

}  // namespace papayalift
