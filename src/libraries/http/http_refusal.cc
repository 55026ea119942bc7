#include "libraries/http/http_refusal.h"

#include <fmt/format.h>

namespace papayalift {

HttpResponse RefusalResponse(HttpStatus status, const char* reason) {
  HttpResponse response;
  response.status = status;
  response.body = fmt::format(R"({{"error":"{}","verdict":"not run"}})", reason);
  return response;
}

HttpResponse RefusalOfBody(BodyVerdict verdict) {
  if (verdict == BodyVerdict::kOverBudget) {
    HttpResponse response = RefusalResponse(HttpStatus::kUnavailable,
                                            "the bodies of other requests take up the memory");
    response.headers["Retry-After"] = "1";
    return response;
  }
  return RefusalResponse(HttpStatus::kPayloadTooLarge, "the request body is too large");
}

}  // namespace papayalift
