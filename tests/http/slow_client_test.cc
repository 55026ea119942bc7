#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <thread>

#include "http/raw_connection.h"
#include "libraries/base/boot_clock.h"
#include "libraries/http/async_http_server.h"

namespace papayalift {

namespace {

constexpr int kMaxDrops = 1'000;
constexpr std::chrono::milliseconds kDropInterval{20};
constexpr Milliseconds kPollInterval{20};

/// A server on an event loop, and a client on a thread of its own.
struct SlowClientFixture {
  explicit SlowClientFixture(const HttpServerLimits& limits) {
    server = AsyncHttpServer::Create(*loop, "127.0.0.1", 0, limits,
                                     [this](const HttpRequest&, const HttpResponder& respond) {
                                       ++handled;
                                       respond(HttpResponse{});
                                     })
                 .value();
  }

  /// Sends `begin`, then `drop` again and again; returns whether the server closed the connection.
  bool IsClosedWhileSending(const std::string& begin, const std::string& drop) {
    std::atomic<bool> is_done = false;
    bool is_open = true;
    std::thread client([&] {
      const RawConnection connection(server->port());
      is_open = connection.Write(begin);
      for (int count = 0; count < kMaxDrops && is_open; ++count) {
        is_open = connection.Write(drop);
        std::this_thread::sleep_for(kDropInterval);
      }
      is_done = true;
    });
    StopLoopWhen(is_done);
    loop->Run();
    client.join();
    return !is_open;
  }

  void StopLoopWhen(const std::atomic<bool>& is_done) {
    if (is_done) {
      loop->Stop();
    } else {
      loop->After(kPollInterval, [this, &is_done] { StopLoopWhen(is_done); });
    }
  }

  BootClock clock;
  std::unique_ptr<EventLoop> loop = EventLoop::Create(clock).value();
  std::unique_ptr<AsyncHttpServer> server;
  int handled = 0;
};

}  // namespace

// Each byte renews the idle timeout, so that such connections would stay until they fill the limit.
Test(slow_client, headers_that_come_drop_by_drop_are_closed) {
  HttpServerLimits limits;
  limits.request_timeout = Milliseconds(1'000);
  SlowClientFixture fixture(limits);
  cr_expect(fixture.IsClosedWhileSending("POST /a HTTP/1.1\r\nX-Long: ", "x"));
  cr_expect_eq(fixture.handled, 0);
}

Test(slow_client, body_that_comes_drop_by_drop_is_closed) {
  const BootClock clock;
  BodyBudgetLimits body_limits;
  body_limits.headway_window = Milliseconds(1'000);
  BodyBudget budget(clock, body_limits);
  HttpServerLimits limits;
  limits.body_budget = &budget;
  SlowClientFixture fixture(limits);
  cr_expect(fixture.IsClosedWhileSending(
      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"));
  cr_expect_eq(fixture.handled, 0);
  cr_expect_eq(budget.stats().too_slow, 1);
  cr_expect_eq(budget.stats().held_bytes, 0);
}

}  // namespace papayalift
