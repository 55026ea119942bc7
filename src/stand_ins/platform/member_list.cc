#include "stand_ins/platform/member_list.h"

namespace papayalift {

HttpResponse MemberList::Show(const HttpRequest& /*request*/) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  HttpResponse response;
  response.body = m_body;
  return response;
}

HttpResponse MemberList::Set(const HttpRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_body = request.body;
  return HttpResponse{};
}

}  // namespace papayalift
