/// Responses to requests that an HTTP server refuses before its handler is called.
#pragma once

#include "libraries/http/arriving_body.h"
#include "libraries/http/http_message.h"

namespace papayalift {

/// Names the reason, and says that the request was not run. `reason` must not need escapes in JSON.
HttpResponse RefusalResponse(HttpStatus status, const char* reason);

/// The response to a request whose body was not kept: 503 with Retry-After if the budget had no
/// room for it, and 413 otherwise.
HttpResponse RefusalOfBody(BodyVerdict verdict);

}  // namespace papayalift
