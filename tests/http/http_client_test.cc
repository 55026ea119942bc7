#include "libraries/http/http_client.h"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>

#include "http/raw_connection.h"
#include "libraries/http/http_server.h"

namespace papayalift {

namespace {

constexpr Milliseconds kCallTimeout{20'000};
constexpr char kRequestEnd[] = "end-of-request";

HttpCall CallTo(std::uint16_t port) {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/v1/call";
  call.body = kRequestEnd;
  call.timeout = kCallTimeout;
  return call;
}

std::string ResponseText(const std::string& body, std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

/// Answers the first request; closes the connection without a response to the second; answers the
/// request of the next connection. Counts the requests that it has read completely.
class ClosingServer {
 public:
  ClosingServer() : m_thread([this] { Serve(); }) {}

  std::uint16_t port() const { return m_listener.port(); }

  /// Returns the count after the server has ended.
  int CountRequests() {
    // A connection that sends nothing ends the server's wait for the next one.
    { const RawConnection last_connection(port()); }
    m_thread.join();
    return m_requests;
  }

 private:
  bool Read(const RawConnection& connection) {
    const bool whole = connection.ReadUntil(kRequestEnd).find(kRequestEnd) != std::string::npos;
    m_requests += whole ? 1 : 0;
    return whole;
  }

  void Serve() {
    {
      const RawConnection kept_connection = m_listener.Accept();
      Read(kept_connection);
      kept_connection.Write(ResponseText("{}", 2));
      Read(kept_connection);
    }
    const RawConnection further_connection = m_listener.Accept();
    if (Read(further_connection)) {
      further_connection.Write(ResponseText("{}", 2));
    }
  }

  RawListener m_listener;
  std::atomic<int> m_requests{0};
  std::thread m_thread;
};

}  // namespace

Test(http_client, kept_connection_closed_after_request_is_unclear_and_not_resent) {
  ClosingServer server;
  HttpClient client;
  cr_assert(client.Send(CallTo(server.port())).result == HttpCallResult::kAnswered);
  cr_expect(client.Send(CallTo(server.port())).result == HttpCallResult::kUnclear);
  cr_expect_eq(server.CountRequests(), 2);
}

Test(http_client, truncated_response_is_unclear_and_has_no_body) {
  RawListener listener;
  std::thread server([&listener] {
    const RawConnection connection = listener.Accept();
    connection.ReadUntil(kRequestEnd);
    connection.Write(ResponseText("{\"half\":", 100));
  });
  HttpClient client;
  const HttpOutcome outcome = client.Send(CallTo(listener.port()));
  server.join();
  cr_expect(outcome.result == HttpCallResult::kUnclear);
  cr_expect(outcome.body.empty());
}

Test(http_client, may_send_false_sends_no_byte) {
  RawListener listener;
  std::string read;
  std::thread server([&listener, &read] { read = listener.Accept().ReadToEnd(); });
  HttpCall call = CallTo(listener.port());
  call.may_send = [] { return false; };
  {
    HttpClient client;
    cr_expect(client.Send(call).result == HttpCallResult::kNotSent);
  }
  server.join();
  cr_expect(read.empty());
}

Test(http_client, closed_port_is_not_sent) {
  std::uint16_t port = 0;
  {
    const RawListener listener;
    port = listener.port();
  }
  HttpClient client;
  cr_expect(client.Send(CallTo(port)).result == HttpCallResult::kNotSent);
}

}  // namespace papayalift
