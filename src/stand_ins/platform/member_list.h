/// The stand-in for the platform's membership list, which tests set as they like.
#pragma once

#include <mutex>
#include <string>

#include "libraries/http/http_message.h"

namespace papayalift {

class MemberList {
 public:
  /// The list as it was last set.
  HttpResponse Show(const HttpRequest& request) const;
  /// Replaces the list by the body, whatever it is: an empty or malformed one is a fault to test.
  HttpResponse Set(const HttpRequest& request);

 private:
  mutable std::mutex m_mutex;
  std::string m_body = "[]";
};

}  // namespace papayalift
