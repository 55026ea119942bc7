#include <criterion/criterion.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <optional>

#include "libraries/base/boot_clock.h"
#include "libraries/base/manual_clock.h"
#include "libraries/http/async_http_client.h"
#include "libraries/http/async_http_server.h"

namespace papayalift {

namespace {

/// A client and a server on one loop.
struct AsyncFixture {
  explicit AsyncFixture(AsyncHttpHandler handler,
                        const HttpServerLimits& limits = HttpServerLimits{}) {
    server = AsyncHttpServer::Create(*loop, "127.0.0.1", 0, limits, std::move(handler)).value();
  }

  AsyncHttpCall Call(HttpMethod method, const std::string& path, const std::string& body = "") {
    AsyncHttpCall call;
    call.call.method = method;
    call.call.url = "http://127.0.0.1:" + std::to_string(server->port()) + path;
    call.call.body = body;
    call.call.timeout = Milliseconds(20'000);
    call.headers.push_back("X-Key: secret");
    return call;
  }

  HttpOutcome Send(AsyncHttpCall call) {
    HttpOutcome result;
    client.Send(std::move(call), [this, &result](HttpOutcome outcome) {
      result = std::move(outcome);
      loop->Stop();
    });
    loop->Run();
    return result;
  }

  BootClock clock;
  std::unique_ptr<EventLoop> loop = EventLoop::Create(clock).value();
  AsyncHttpClient client{*loop, 10};
  std::unique_ptr<AsyncHttpServer> server;
};

}  // namespace

Test(async_http, request_is_received_with_all_parts_and_answered) {
  HttpRequest seen;
  AsyncFixture fixture([&seen](const HttpRequest& request, const HttpResponder& respond) {
    seen = request;
    HttpResponse response;
    response.status = HttpStatus::kAccepted;
    response.body = "fine";
    respond(response);
  });
  const HttpOutcome outcome =
      fixture.Send(fixture.Call(HttpMethod::kPost, "/a/b?c=d", std::string(100'000, 'x')));
  cr_assert(outcome.result == HttpCallResult::kAnswered);
  cr_assert(outcome.status == HttpStatus::kAccepted);
  cr_assert_eq(outcome.body, "fine");
  cr_assert_eq(seen.path, "/a/b");
  cr_assert_eq(seen.query.at("c"), "d");
  cr_assert_eq(seen.headers.at("x-key"), "secret");
  cr_assert_eq(seen.body.size(), 100'000);
}

Test(async_http, deferred_response_is_delivered) {
  AsyncFixture* fixture_pointer = nullptr;
  AsyncFixture fixture(
      [&fixture_pointer](const HttpRequest& request, const HttpResponder& respond) {
        cr_assert(request.method == HttpMethod::kDelete);
        fixture_pointer->loop->After(Milliseconds(30), [respond] { respond(HttpResponse{}); });
      });
  fixture_pointer = &fixture;
  const HttpOutcome outcome = fixture.Send(fixture.Call(HttpMethod::kDelete, "/x"));
  cr_assert(outcome.result == HttpCallResult::kAnswered);
  cr_assert_eq(fixture.server->requests_in_flight(), 0);
}

Test(async_http, call_without_response_is_unclear) {
  AsyncFixture fixture([](const HttpRequest&, const HttpResponder&) {});
  AsyncHttpCall call = fixture.Call(HttpMethod::kGet, "/silent");
  call.call.timeout = Milliseconds(200);
  cr_assert(fixture.Send(std::move(call)).result == HttpCallResult::kUnclear);
}

// A leader on a small machine counted answers as missing that it had not read yet (issue 44).
Test(async_http, answer_that_lies_unread_while_the_loop_is_behind_is_not_missing) {
  constexpr int kBehindMicroseconds = 300'000;
  AsyncFixture fixture([](const HttpRequest&, const HttpResponder& respond) {
    respond(HttpResponse{});
    usleep(kBehindMicroseconds);
  });
  AsyncHttpCall call = fixture.Call(HttpMethod::kGet, "/read-late");
  call.call.timeout = Milliseconds(200);
  HttpOutcome result;
  fixture.loop->After(Milliseconds(0), [] { usleep(kBehindMicroseconds); });
  fixture.loop->After(Milliseconds(10), [&fixture, &call, &result] {
    fixture.client.Send(call, [&fixture, &result](HttpOutcome outcome) {
      result = std::move(outcome);
      fixture.loop->Stop();
    });
  });
  fixture.loop->Run();
  cr_assert(result.result == HttpCallResult::kAnswered);
}

// The timeout of a call ran on while its answer lay unread (issue 65).
Test(async_http, answer_that_arrives_in_time_and_is_read_late_is_not_missing) {
  constexpr int kBehindMicroseconds = 600'000;
  AsyncFixture fixture([](const HttpRequest&, const HttpResponder& respond) {
    respond(HttpResponse{});
    usleep(kBehindMicroseconds);
  });
  AsyncHttpCall call = fixture.Call(HttpMethod::kGet, "/read-late");
  call.call.timeout = Milliseconds(200);
  cr_assert(fixture.Send(std::move(call)).result == HttpCallResult::kAnswered);
}

// Guards the other way: lateness that is not there must not keep a silent host's call open.
Test(async_http, silent_call_on_a_punctual_loop_is_given_up_at_its_timeout) {
  constexpr Milliseconds kTimeout{200};
  constexpr Milliseconds kMaxDelay{10};
  ManualClock clock;
  const std::unique_ptr<EventLoop> loop = EventLoop::Create(clock).value();
  const std::unique_ptr<AsyncHttpServer> server =
      AsyncHttpServer::Create(*loop, "127.0.0.1", 0, HttpServerLimits{},
                              [](const HttpRequest&, const HttpResponder&) {})
          .value();
  AsyncHttpClient client(*loop, 10);
  AsyncHttpCall call;
  call.call.url = "http://127.0.0.1:" + std::to_string(server->port()) + "/silent";
  call.call.timeout = kTimeout;
  Milliseconds given_up_at{0};
  const Milliseconds sent_at = clock.Now();
  client.Send(call, [&](const HttpOutcome& outcome) {
    cr_expect(outcome.result != HttpCallResult::kAnswered);
    given_up_at = clock.Now();
    loop->Stop();
  });
  const std::function<void()> step = [&] {
    clock.Advance(Milliseconds(1));
    loop->After(Milliseconds(0), step);
  };
  step();
  loop->Run();
  cr_expect_geq((given_up_at - sent_at).count(), kTimeout.count());
  cr_expect_leq((given_up_at - sent_at).count(), (kTimeout + kMaxDelay).count());
}

// A loop that never catches up would otherwise keep silent calls for ever.
Test(async_http, silent_call_beside_descriptors_that_are_always_ready_is_given_up) {
  constexpr int kPipes = 100;
  AsyncFixture fixture([](const HttpRequest&, const HttpResponder&) {});
  for (int number = 0; number < kPipes; ++number) {
    std::array<int, 2> ends{};
    cr_assert_eq(pipe(ends.data()), 0);
    cr_assert_eq(write(ends[1], "x", 1), 1);
    cr_assert(fixture.loop->Watch(ends[0], Readiness{.readable = true}, [](Readiness) {}).ok());
  }
  AsyncHttpCall call = fixture.Call(HttpMethod::kGet, "/silent");
  call.call.timeout = Milliseconds(200);
  cr_assert(fixture.Send(std::move(call)).result == HttpCallResult::kUnclear);
}

Test(async_http, call_to_closed_port_is_not_sent) {
  AsyncFixture fixture([](const HttpRequest&, const HttpResponder&) {});
  AsyncHttpCall call = fixture.Call(HttpMethod::kPost, "/");
  // Nothing listens on the discard port.
  call.call.url = "http://127.0.0.1:9/";
  const HttpOutcome outcome = fixture.Send(std::move(call));
  cr_assert(outcome.result == HttpCallResult::kNotSent);
  cr_assert(outcome.is_connection_refused);
}

// A start's receiver was taken from the clock in its answer (issue 68).
Test(async_http, outcome_tells_when_its_connection_was_established) {
  constexpr int kPauseMicroseconds = 20'000;
  const AsyncHttpHandler handler = [](const HttpRequest&, const HttpResponder& respond) {
    respond(HttpResponse{});
  };
  AsyncFixture fixture(handler);
  const Milliseconds began_at = fixture.clock.Now();
  const AsyncHttpCall call = fixture.Call(HttpMethod::kPost, "/");
  const std::optional<Milliseconds> first = fixture.Send(call).connection_opened_at;
  const Milliseconds ended_at = fixture.clock.Now();
  cr_assert(first.has_value());
  cr_expect(*first >= began_at && *first <= ended_at);
  usleep(kPauseMicroseconds);
  const HttpOutcome kept = fixture.Send(call);
  cr_assert(kept.connection == ConnectionOrigin::kKept);
  cr_expect(kept.connection_opened_at == first);

  AsyncHttpCall fresh = call;
  fresh.max_connection_idle = std::chrono::seconds(0);
  cr_expect(fixture.Send(fresh).connection_opened_at > ended_at);

  const std::uint16_t port = fixture.server->port();
  fixture.server.reset();
  fixture.server =
      AsyncHttpServer::Create(*fixture.loop, "127.0.0.1", port, HttpServerLimits{}, handler)
          .value();
  usleep(kPauseMicroseconds);
  const Milliseconds restarted_at = fixture.clock.Now();
  const HttpOutcome after = fixture.Send(call);
  cr_assert(after.result == HttpCallResult::kAnswered);
  cr_expect(after.connection_opened_at >= restarted_at);
}

Test(async_http, request_tells_when_its_connection_was_accepted) {
  constexpr int kPauseMicroseconds = 20'000;
  std::optional<Milliseconds> opened_at;
  AsyncFixture fixture([&opened_at](const HttpRequest& request, const HttpResponder& respond) {
    opened_at = request.connection_opened_at;
    respond(HttpResponse{});
  });
  const AsyncHttpCall call = fixture.Call(HttpMethod::kPost, "/");
  const Milliseconds began_at = fixture.clock.Now();
  fixture.Send(call);
  const Milliseconds ended_at = fixture.clock.Now();
  const std::optional<Milliseconds> first = opened_at;
  cr_assert(first.has_value());
  cr_expect(*first >= began_at && *first <= ended_at);

  usleep(kPauseMicroseconds);
  cr_assert(fixture.Send(call).connection == ConnectionOrigin::kKept);
  cr_expect(opened_at == first);

  AsyncHttpCall fresh = call;
  fresh.max_connection_idle = std::chrono::seconds(0);
  fixture.Send(fresh);
  cr_expect(opened_at > ended_at);
}

// An acknowledgement of ends must not reach a process that started anew (issue 62).
Test(async_http, call_bound_to_a_kept_connection_opens_none) {
  constexpr int kPauseMicroseconds = 20'000;
  int requests = 0;
  AsyncFixture fixture([&requests](const HttpRequest&, const HttpResponder& respond) {
    ++requests;
    respond(HttpResponse{});
  });
  const AsyncHttpCall call = fixture.Call(HttpMethod::kPost, "/");
  AsyncHttpCall bound = call;
  bound.connection_opened_by = fixture.clock.Now();
  const HttpOutcome none = fixture.Send(bound);
  cr_expect(none.result == HttpCallResult::kNotSent);
  cr_expect(!none.is_connection_refused);
  usleep(kPauseMicroseconds);
  const std::optional<Milliseconds> opened_at = fixture.Send(call).connection_opened_at;
  cr_assert(opened_at.has_value());

  // The kept one is too new.
  cr_expect(fixture.Send(bound).result == HttpCallResult::kNotSent);
  cr_expect_eq(requests, 1);

  const std::optional<Milliseconds> next_opened_at = fixture.Send(call).connection_opened_at;
  bound.connection_opened_by = next_opened_at;
  const HttpOutcome kept = fixture.Send(bound);
  cr_expect(kept.result == HttpCallResult::kAnswered);
  cr_expect(kept.connection == ConnectionOrigin::kKept);
  cr_expect(kept.connection_opened_at == next_opened_at);
  cr_expect_eq(requests, 3);
}

Test(async_http, call_without_a_connection_tells_none) {
  AsyncFixture fixture([](const HttpRequest&, const HttpResponder&) {});
  AsyncHttpCall call = fixture.Call(HttpMethod::kPost, "/");
  // Nothing listens on the discard port.
  call.call.url = "http://127.0.0.1:9/";
  cr_expect(!fixture.Send(std::move(call)).connection_opened_at.has_value());
}

Test(async_http, late_response_to_disconnected_client_is_ignored) {
  HttpResponder kept;
  AsyncFixture fixture([&kept](const HttpRequest&, const HttpResponder& respond) {
    if (!kept) {
      kept = respond;
    } else {
      respond(HttpResponse{});
    }
  });
  AsyncHttpCall call = fixture.Call(HttpMethod::kGet, "/left");
  call.call.timeout = Milliseconds(100);
  fixture.Send(std::move(call));
  kept(HttpResponse{});
  cr_assert(fixture.Send(fixture.Call(HttpMethod::kGet, "/next")).result ==
            HttpCallResult::kAnswered);
}

// A refusal promises that the request had no effect.
Test(async_http, body_above_limit_gets_413_and_is_not_handled) {
  int handled = 0;
  HttpServerLimits limits;
  limits.body_bytes = 1'000;
  AsyncFixture fixture(
      [&handled](const HttpRequest&, const HttpResponder& respond) {
        ++handled;
        respond(HttpResponse{});
      },
      limits);
  for (const std::size_t bytes : {1'001UL, 4'000UL}) {
    const HttpOutcome outcome =
        fixture.Send(fixture.Call(HttpMethod::kPost, "/large", std::string(bytes, 'x')));
    cr_expect(outcome.status == HttpStatus::kPayloadTooLarge);
    cr_expect(outcome.body.find(R"("verdict":"not run")") != std::string::npos);
  }
  cr_expect_eq(handled, 0);
  fixture.Send(fixture.Call(HttpMethod::kPost, "/fits", std::string(1'000, 'x')));
  cr_expect_eq(handled, 1);
}

Test(async_http, body_over_budget_gets_503_and_is_not_handled) {
  int handled = 0;
  BootClock clock;
  BodyBudgetLimits body_limits;
  body_limits.total_bytes = 128UL * 1024;
  body_limits.large_bytes = 64UL * 1024;
  BodyBudget budget(clock, body_limits);
  HttpServerLimits limits;
  limits.body_budget = &budget;
  AsyncFixture fixture(
      [&handled](const HttpRequest&, const HttpResponder& respond) {
        ++handled;
        respond(HttpResponse{});
      },
      limits);
  const HttpOutcome outcome =
      fixture.Send(fixture.Call(HttpMethod::kPost, "/large", std::string(100'000, 'x')));
  cr_expect(outcome.status == HttpStatus::kUnavailable);
  cr_expect(outcome.body.find(R"("verdict":"not run")") != std::string::npos);
  cr_expect_eq(handled, 0);
  cr_expect_eq(budget.stats().over_budget, 1);
  fixture.Send(fixture.Call(HttpMethod::kPost, "/small", std::string(20'000, 'x')));
  cr_expect_eq(handled, 1);
  cr_expect_eq(budget.stats().held_bytes, 0);
}

// A leader that keeps the bodies of requests it has decoded would hold them as long as the store
// takes.
Test(async_http, body_is_given_back_before_the_response) {
  BootClock clock;
  BodyBudget budget(clock, BodyBudgetLimits{});
  HttpServerLimits limits;
  limits.body_budget = &budget;
  std::size_t held_bytes = 1;
  AsyncFixture* fixture_pointer = nullptr;
  AsyncFixture fixture(
      [&](const HttpRequest&, const HttpResponder& respond) {
        fixture_pointer->loop->After(Milliseconds(10), [&, respond] {
          held_bytes = budget.stats().held_bytes;
          respond(HttpResponse{});
        });
      },
      limits);
  fixture_pointer = &fixture;
  fixture.Send(fixture.Call(HttpMethod::kPost, "/later", std::string(20'000, 'x')));
  cr_expect_eq(held_bytes, 0);
}

}  // namespace papayalift
