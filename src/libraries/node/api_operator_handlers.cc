/// Handlers of the operators' API: zones and bundles.
#include "libraries/model/bundle_codec.h"
#include "libraries/model/keys.h"
#include "libraries/model/zone_codec.h"
#include "libraries/node/api_request.h"
#include "libraries/node/api_responses.h"
#include "libraries/node/api_server.h"

namespace papayalift {

HttpResponse ApiServer::ListZones(const HttpRequest& /*request*/) {
  const absl::StatusOr<RangeAnswer> answer = m_dependencies.store.Range(SingleKey(keys::kZones));
  if (!answer.ok()) {
    return ErrorResponse(answer.status());
  }
  ZoneTable zones;
  if (!answer->records.empty()) {
    const absl::StatusOr<ZoneTable> decoded = DecodeZoneTable(answer->records.front().value);
    if (!decoded.ok()) {
      return ErrorResponse(decoded.status());
    }
    zones = *decoded;
  }
  return ZonesResponse(zones, *m_dependencies.state.View());
}

HttpResponse ApiServer::ChangeZone(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> operator_request = DecodeOperatorRequest(request.body);
  if (!operator_request.ok()) {
    return ErrorResponse(operator_request.status());
  }
  if (operator_request->state != "in" && operator_request->state != "out") {
    return ErrorResponse(absl::InvalidArgumentError("'state' must be \"in\" or \"out\""));
  }
  ZoneChange change;
  change.zone = ZoneId(PathSegment(request.path, 2));
  change.state = operator_request->state == "in" ? ZoneState::kIn : ZoneState::kOut;
  change.actor = operator_request->actor;
  change.reason = operator_request->reason;
  const absl::StatusOr<ZoneTable> zones = m_dependencies.zones.Change(change);
  return zones.ok() ? ZonesResponse(*zones, *m_dependencies.state.View())
                    : ErrorResponse(zones.status());
}

HttpResponse ApiServer::SubmitBundle(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> operator_request = DecodeOperatorRequest(request.body);
  if (!operator_request.ok()) {
    return ErrorResponse(operator_request.status());
  }
  const absl::StatusOr<BundleRecord> record =
      m_dependencies.bundles.Submit(operator_request->text, operator_request->actor);
  return record.ok() ? JsonResponse(EncodeBundleRecord(*record)) : ErrorResponse(record.status());
}

HttpResponse ApiServer::SignOffBundle(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> operator_request = DecodeOperatorRequest(request.body);
  if (!operator_request.ok()) {
    return ErrorResponse(operator_request.status());
  }
  const BundleVersion version(ParseIntOr(PathSegment(request.path, 2), 0));
  const absl::StatusOr<BundleRecord> record =
      m_dependencies.bundles.SignOff(version, operator_request->digest, operator_request->actor);
  return record.ok() ? JsonResponse(EncodeBundleRecord(*record)) : ErrorResponse(record.status());
}

HttpResponse ApiServer::RollBundle(const HttpRequest& request) {
  const absl::StatusOr<OperatorRequest> operator_request = DecodeOperatorRequest(request.body);
  if (!operator_request.ok()) {
    return ErrorResponse(operator_request.status());
  }
  const BundleVersion version(ParseIntOr(PathSegment(request.path, 2), 0));
  const absl::StatusOr<CurrentBundle> current =
      m_dependencies.bundles.Roll(version, operator_request->seen, operator_request->actor);
  return current.ok() ? JsonResponse(EncodeCurrentBundle(*current))
                      : ErrorResponse(current.status());
}

HttpResponse ApiServer::ShowBundle(const HttpRequest& request) {
  const BundleVersion version(ParseIntOr(PathSegment(request.path, 2), 0));
  const absl::StatusOr<BundleRecord> record = m_dependencies.bundles.Read(version);
  return record.ok() ? JsonResponse(EncodeBundleRecord(*record)) : ErrorResponse(record.status());
}

HttpResponse ApiServer::BundleHistory(const HttpRequest& /*request*/) {
  const absl::StatusOr<std::vector<BundleRecord>> history = m_dependencies.bundles.History();
  if (!history.ok()) {
    return ErrorResponse(history.status());
  }
  const absl::StatusOr<CurrentBundle> current = m_dependencies.bundles.Current();
  return current.ok() ? BundleHistoryResponse(*history, *current) : ErrorResponse(current.status());
}

}  // namespace papayalift
