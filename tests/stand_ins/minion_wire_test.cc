#include "stand_ins/fleet/minion_wire.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>

#include "libraries/base/boot_clock.h"
#include "libraries/http/async_http_client.h"
#include "libraries/model/json_document.h"

namespace papayalift {

namespace {

/// Prevents a test from hanging.
constexpr Milliseconds kTimeout{20'000};
/// Longer than the resolution of the clock, so that what comes after it is later.
constexpr Milliseconds kPause{5};
constexpr Milliseconds kOutage{50};

const MinionId kMinion("m0");
const MinionId kOtherMinion("m1");

/// Two minions behind one port, and a client.
struct WireFixture {
  WireFixture() {
    minions.AcceptUnknownJobs();
    minions.SetAdvertisedAddress("127.0.0.1:80");
    for (const MinionId& id : {kMinion, kOtherMinion}) {
      minions.Add(id, RackId("rack"), Resources{16'000, 32'768, 8});
    }
    server =
        AsyncHttpServer::Create(*loop, "127.0.0.1", 0, HttpServerLimits{},
                                [this](const HttpRequest& request, const HttpResponder& respond) {
                                  wire.Handle(request, respond);
                                })
            .value();
    RunFor(kPause);
  }

  HttpOutcome Call(const MinionId& minion, const std::string& path, const Json& body) {
    AsyncHttpCall call;
    call.call.url = "http://127.0.0.1:" + std::to_string(server->port()) + path;
    call.call.body = body.dump();
    call.call.timeout = kTimeout;
    call.headers.push_back("X-Expect-Instance: " + minion.text());
    HttpOutcome result;
    client.Send(std::move(call), [this, &result](HttpOutcome outcome) {
      result = std::move(outcome);
      loop->Stop();
    });
    loop->Run();
    return result;
  }

  HttpOutcome Hold(const MinionId& minion) {
    return Call(minion, "/hold", Json{{"fencingToken", 1}, {"ackCursor", 0}});
  }
  HttpOutcome Start(const MinionId& minion) {
    constexpr std::int64_t kAnyLaterTime = 1'000'000'000'000;
    return Call(minion, "/run-start",
                Json{{"task", "5c0e7a21d94b36f8.0.0.0"},
                     {"attempt", 1},
                     {"spec", ""},
                     {"deadlineMs", kAnyLaterTime},
                     {"fencingToken", 1}});
  }

  void RunFor(Milliseconds time) {
    loop->After(time, [this] { loop->Stop(); });
    loop->Run();
  }

  /// Waits until a process runs on the minion's machine again.
  void AwaitReturn() {
    while (!minions.IsUp(minions.NewestOn(kMinion))) {
      RunFor(kPause);
    }
    RunFor(kPause);
  }

  BootClock clock;
  std::unique_ptr<EventLoop> loop = EventLoop::Create(clock).value();
  FleetStore store{*loop};
  FleetMinions minions{*loop, store};
  MinionWire wire{minions};
  std::unique_ptr<AsyncHttpServer> server;
  AsyncHttpClient client{*loop, 10};
};

/// The call went over the connection of the earlier one, and got no answer.
void ExpectNoAnswerAfter(const HttpOutcome& earlier, const HttpOutcome& outcome) {
  cr_expect(outcome.connection_opened_at == earlier.connection_opened_at);
  cr_expect(outcome.result == HttpCallResult::kUnclear);
}

/// The call went over a connection of its own.
void ExpectLaterConnection(const HttpOutcome& earlier, const HttpOutcome& outcome) {
  cr_expect(outcome.connection_opened_at > earlier.connection_opened_at);
}

}  // namespace

// The stand-in let connections outlive the processes of its minions, which no minion's do (issue
// 68).
Test(minion_wire, start_over_a_connection_to_the_former_process_is_not_carried_out) {
  WireFixture fixture;
  const HttpOutcome hold = fixture.Hold(kMinion);
  cr_assert(hold.result == HttpCallResult::kAnswered);
  fixture.RunFor(kPause);
  fixture.minions.Restart(kMinion);
  fixture.RunFor(kPause);
  ExpectNoAnswerAfter(hold, fixture.Start(kMinion));
  cr_expect_eq(fixture.minions.starts(), 0);

  const HttpOutcome fresh = fixture.Start(kMinion);
  ExpectLaterConnection(hold, fresh);
  cr_expect(fresh.status == HttpStatus::kOk && fresh.result == HttpCallResult::kAnswered);
  cr_expect_eq(fixture.minions.starts(), 1);
}

Test(minion_wire, report_over_a_connection_to_the_former_process_is_not_sent) {
  WireFixture fixture;
  const HttpOutcome hold = fixture.Hold(kMinion);
  cr_assert(hold.result == HttpCallResult::kAnswered);
  fixture.minions.Crash(kMinion, MinionOutage{.duration = kOutage});
  fixture.AwaitReturn();
  ExpectNoAnswerAfter(hold, fixture.Hold(kMinion));
  const HttpOutcome fresh = fixture.Hold(kMinion);
  ExpectLaterConnection(hold, fresh);
  cr_expect(fresh.result == HttpCallResult::kAnswered);
}

Test(minion_wire, call_to_a_process_that_is_gone_closes_its_connection) {
  WireFixture fixture;
  const HttpOutcome hold = fixture.Hold(kMinion);
  cr_assert(hold.result == HttpCallResult::kAnswered);
  fixture.RunFor(kPause);
  fixture.minions.Crash(kMinion, MinionOutage{.comes_back = MinionReturn::kNever});
  ExpectNoAnswerAfter(hold, fixture.Start(kMinion));
  const HttpOutcome fresh = fixture.Start(kMinion);
  ExpectLaterConnection(hold, fresh);
  cr_expect(fresh.result == HttpCallResult::kUnclear);
  cr_expect_eq(fixture.minions.starts(), 0);
}

Test(minion_wire, connection_older_than_one_process_still_reaches_another_minion) {
  WireFixture fixture;
  const HttpOutcome hold = fixture.Hold(kMinion);
  cr_assert(hold.result == HttpCallResult::kAnswered);
  fixture.RunFor(kPause);
  fixture.minions.Restart(kMinion);
  const HttpOutcome start = fixture.Start(kOtherMinion);
  cr_expect(start.connection_opened_at == hold.connection_opened_at);
  cr_expect(start.result == HttpCallResult::kAnswered && start.status == HttpStatus::kOk);
}

// Another minion at the address says that it is another one only to those that have reached it.
Test(minion_wire, call_to_a_replaced_minion_is_misdirected_only_over_a_later_connection) {
  WireFixture fixture;
  const HttpOutcome hold = fixture.Hold(kMinion);
  cr_assert(hold.result == HttpCallResult::kAnswered);
  fixture.minions.Crash(kMinion,
                        MinionOutage{.duration = kOutage, .comes_back = MinionReturn::kNewId});
  fixture.AwaitReturn();
  ExpectNoAnswerAfter(hold, fixture.Start(kMinion));
  const HttpOutcome fresh = fixture.Start(kMinion);
  ExpectLaterConnection(hold, fresh);
  cr_expect(fresh.status == HttpStatus::kMisdirected);
}

}  // namespace papayalift
