#include "libraries/http/http_status.h"

namespace papayalift {

HttpStatus HttpStatusOf(absl::StatusCode code) {
  switch (code) {
    case absl::StatusCode::kOk:
      return HttpStatus::kOk;
    case absl::StatusCode::kInvalidArgument:
      return HttpStatus::kBadRequest;
    case absl::StatusCode::kNotFound:
      return HttpStatus::kNotFound;
    case absl::StatusCode::kAlreadyExists:
    case absl::StatusCode::kAborted:
      return HttpStatus::kConflict;
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kOutOfRange:
      return HttpStatus::kUnprocessable;
    case absl::StatusCode::kResourceExhausted:
      return HttpStatus::kTooManyRequests;
    case absl::StatusCode::kUnavailable:
      return HttpStatus::kUnavailable;
    case absl::StatusCode::kDeadlineExceeded:
      return HttpStatus::kGatewayTimeout;
    case absl::StatusCode::kUnknown:
      return HttpStatus::kBadGateway;
    default:
      return HttpStatus::kInternalError;
  }
}

absl::StatusCode StatusCodeOf(HttpStatus status) {
  switch (status) {
    case HttpStatus::kOk:
    case HttpStatus::kAccepted:
      return absl::StatusCode::kOk;
    case HttpStatus::kBadRequest:
    case HttpStatus::kMethodNotAllowed:
    case HttpStatus::kPayloadTooLarge:
    case HttpStatus::kHeadersTooLarge:
      return absl::StatusCode::kInvalidArgument;
    case HttpStatus::kNotFound:
    case HttpStatus::kGone:
      return absl::StatusCode::kNotFound;
    case HttpStatus::kUnauthorized:
      return absl::StatusCode::kUnauthenticated;
    case HttpStatus::kPreconditionFailed:
    case HttpStatus::kConflict:
      return absl::StatusCode::kAborted;
    case HttpStatus::kMisdirected:
    case HttpStatus::kUnprocessable:
      return absl::StatusCode::kFailedPrecondition;
    case HttpStatus::kTooManyRequests:
      return absl::StatusCode::kResourceExhausted;
    case HttpStatus::kUnavailable:
      return absl::StatusCode::kUnavailable;
    case HttpStatus::kGatewayTimeout:
      return absl::StatusCode::kDeadlineExceeded;
    case HttpStatus::kBadGateway:
      return absl::StatusCode::kUnknown;
    case HttpStatus::kInternalError:
      return absl::StatusCode::kInternal;
  }
  return absl::StatusCode::kInternal;
}

}  // namespace papayalift
