/// The HTTP status codes in use.
#pragma once

#include "absl/status/status.h"

namespace papayalift {

enum class HttpStatus {
  kOk = 200,
  kAccepted = 202,
  kBadRequest = 400,
  kUnauthorized = 401,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kConflict = 409,
  kGone = 410,
  kPreconditionFailed = 412,
  kPayloadTooLarge = 413,
  kMisdirected = 421,
  kUnprocessable = 422,
  kTooManyRequests = 429,
  kHeadersTooLarge = 431,
  kInternalError = 500,
  kBadGateway = 502,
  kUnavailable = 503,
  kGatewayTimeout = 504,
};

/// The HTTP status that reports `code` to a client.
HttpStatus HttpStatusOf(absl::StatusCode code);

/// The error code for a response with `status`; kOk for 2xx.
absl::StatusCode StatusCodeOf(HttpStatus status);

}  // namespace papayalift
