#include "libraries/calls/call_router.h"

#include <criterion/criterion.h>

#include <atomic>
#include <future>
#include <thread>

#include "libraries/base/boot_clock.h"
#include "libraries/calls/call_codec.h"
#include "stand_ins/control/control_codec.h"
#include "stand_ins/minion/minion_stand_in.h"

namespace papayalift {

namespace {

constexpr Milliseconds kCallTimeout{20'000};
constexpr int kSlots = 8;

/// Admits to every zone until CloseAfter() takes effect, then reports every zone as out.
class CountingGate final : public ZoneGate {
 public:
  ZoneAdmission Admit(const ZoneId& /*zone*/) override {
    return m_admissions.fetch_add(1) < m_open_admissions ? ZoneAdmission::kOpen
                                                         : ZoneAdmission::kZoneOut;
  }
  void CloseAfter(int admissions) { m_open_admissions = m_admissions.load() + admissions; }

 private:
  std::atomic<int> m_admissions{0};
  std::atomic<int> m_open_admissions{1'000'000};
};

/// A router with a number of stand-in minions.
struct RouterFixture {
  explicit RouterFixture(int minion_count) {
    service.id = ServiceId("previews");
    for (int index = 0; index < minion_count; ++index) {
      minions.push_back(*MinionStandIn::Create("127.0.0.1", 0, kSlots));
      AddMinion("minion-" + std::to_string(index), minions.back()->port());
    }
  }

  void AddMinion(const std::string& name, std::uint16_t port) {
    MinionSpec minion;
    minion.id = MinionId(name);
    minion.zone = ZoneId("zone");
    minion.address = "127.0.0.1:" + std::to_string(port);
    service.minions.push_back(minion);
  }

  CallResult Call(Idempotency idempotency, Milliseconds limit = kCallTimeout) {
    CallRequest request;
    request.request_id = "r" + std::to_string(++calls);
    request.idempotency = idempotency;
    request.limit = limit;
    request.payload = "payload " + request.request_id;
    return router.Route(request, service);
  }

  void Fault(std::size_t minion, const FaultRule& rule) {
    HttpCall call;
    call.url = "http://" + service.minions[minion].address + "/control/faults";
    call.body = EncodeFaultOrder(FaultOrder{{rule}, 1});
    cr_assert(client->Send(call).status == HttpStatus::kOk);
  }

  void FaultAll(const FaultRule& rule) {
    for (std::size_t index = 0; index < minions.size(); ++index) {
      Fault(index, rule);
    }
  }

  std::int64_t served() const {
    std::int64_t count = 0;
    for (const std::unique_ptr<MinionStandIn>& minion : minions) {
      count += minion->served();
    }
    return count;
  }

  static FaultRule Rule(FaultKind kind, const std::string& path, int count = 0) {
    FaultRule rule;
    rule.kind = kind;
    rule.path = path;
    rule.count = count;
    return rule;
  }

  BootClock clock;
  CountingGate gate;
  Metrics metrics;
  std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();
  CallRouter router{clock, gate, client, metrics, 7};
  std::vector<std::unique_ptr<MinionStandIn>> minions;
  ServiceSpec service;
  int calls = 0;
};

ConductOrder OrderOf(Conduct conduct) {
  ConductOrder order;
  order.conduct = conduct;
  return order;
}

}  // namespace

Test(call_router, leaving_minion_gets_no_call) {
  RouterFixture fixture(2);
  VmList vms;
  fixture.router.SetVmList(vms);
  vms.Update({VmEntry{"minion-0", VmState::kLeaving}, VmEntry{"minion-1", VmState::kLive}});
  constexpr int kCalls = 20;
  for (int index = 0; index < kCalls; ++index) {
    cr_assert(fixture.Call(Idempotency::kNonIdempotent).verdict == Verdict::kRan);
  }
  cr_assert_eq(fixture.minions[0]->served(), 0);
  cr_assert_eq(fixture.minions[1]->served(), kCalls);
}

Test(call_router, full_minion_refuses_and_another_is_tried) {
  RouterFixture fixture(2);
  fixture.minions[0]->Behave(OrderOf(Conduct::kRefuses));
  constexpr int kCalls = 10;
  for (int index = 0; index < kCalls; ++index) {
    // The router may pick the full minion on every try; a caller may repeat a call that was not
    // run.
    CallResult result = fixture.Call(Idempotency::kNonIdempotent);
    while (result.verdict == Verdict::kNotRun) {
      result = fixture.Call(Idempotency::kNonIdempotent);
    }
    cr_assert(result.verdict == Verdict::kRan);
    cr_assert_eq(result.result, "done: payload " + result.request_id);
  }
  cr_expect_eq(fixture.minions[0]->served(), 0);
  cr_expect_eq(fixture.minions[1]->served(), kCalls);
}

Test(call_router, lost_answer_of_non_idempotent_call_is_not_resent) {
  RouterFixture fixture(3);
  fixture.FaultAll(RouterFixture::Rule(FaultKind::kLoseAnswer, "/v1/call"));
  const CallResult result = fixture.Call(Idempotency::kNonIdempotent);
  cr_expect(result.verdict == Verdict::kMayHaveRun);
  cr_expect_eq(fixture.served(), 1);
}

Test(call_router, lost_answer_of_idempotent_call_is_resent) {
  RouterFixture fixture(1);
  fixture.Fault(0, RouterFixture::Rule(FaultKind::kLoseAnswer, "/v1/call", 1));
  const CallResult result = fixture.Call(Idempotency::kIdempotent);
  cr_expect(result.verdict == Verdict::kRan);
  cr_expect_eq(fixture.served(), 2);
}

Test(call_router, kept_connection_closed_after_request_is_not_resent) {
  RouterFixture fixture(1);
  cr_assert(fixture.Call(Idempotency::kNonIdempotent).verdict == Verdict::kRan);
  fixture.Fault(0, RouterFixture::Rule(FaultKind::kLoseAnswer, "/v1/call", 1));
  cr_expect(fixture.Call(Idempotency::kNonIdempotent).verdict == Verdict::kMayHaveRun);
  cr_expect_eq(fixture.served(), 2);
}

Test(call_router, answer_cut_short_is_never_passed_on) {
  RouterFixture fixture(1);
  fixture.Fault(0, RouterFixture::Rule(FaultKind::kCut, "/v1/call"));
  const CallResult result = fixture.Call(Idempotency::kNonIdempotent);
  cr_expect(result.verdict == Verdict::kMayHaveRun);
  cr_expect(result.result.empty());
}

Test(call_router, answer_to_another_request_is_never_passed_on) {
  RouterFixture fixture(1);
  fixture.minions[0]->Behave(OrderOf(Conduct::kAnswersCrossed));
  const CallResult result = fixture.Call(Idempotency::kNonIdempotent);
  cr_expect(result.verdict == Verdict::kMayHaveRun);
  cr_expect(result.result.empty());
}

Test(call_router, call_delayed_past_its_ticket_is_refused_and_retried) {
  RouterFixture fixture(1);
  FaultRule late = RouterFixture::Rule(FaultKind::kDelay, "/v1/call", 1);
  late.delay = Milliseconds(1'600);
  fixture.Fault(0, late);
  cr_expect(fixture.Call(Idempotency::kNonIdempotent).verdict == Verdict::kRan);
  cr_expect_eq(fixture.served(), 1);
}

Test(call_router, stale_ticket_is_refused_not_run) {
  RouterFixture fixture(1);
  MinionCall call;
  call.request_id = "late";
  call.ticket = "0";
  HttpCall http;
  http.url = "http://" + fixture.service.minions[0].address + "/v1/call";
  http.body = EncodeMinionCall(call);
  const HttpOutcome outcome = fixture.client->Send(http);
  cr_expect(outcome.status == HttpStatus::kConflict);
  cr_expect_eq(fixture.served(), 0);
}

Test(call_router, minion_frozen_before_call_is_not_run) {
  RouterFixture fixture(1);
  fixture.Fault(0, RouterFixture::Rule(FaultKind::kHang, "/v1/"));
  const CallResult result = fixture.Call(Idempotency::kNonIdempotent, Milliseconds(300));
  cr_expect(result.verdict == Verdict::kNotRun);
  cr_expect_eq(fixture.served(), 0);
}

Test(call_router, minion_frozen_during_call_may_have_run) {
  RouterFixture fixture(1);
  fixture.Fault(0, RouterFixture::Rule(FaultKind::kHang, "/v1/call"));
  const CallResult result = fixture.Call(Idempotency::kNonIdempotent, Milliseconds(500));
  cr_expect(result.verdict == Verdict::kMayHaveRun);
}

Test(call_router, zone_out_between_choice_and_send_is_not_run) {
  RouterFixture fixture(1);
  cr_assert(fixture.Call(Idempotency::kNonIdempotent).verdict == Verdict::kRan);
  fixture.gate.CloseAfter(1);
  cr_expect(fixture.Call(Idempotency::kNonIdempotent).verdict == Verdict::kNotRun);
  cr_expect_eq(fixture.served(), 1);
}

Test(call_router, minion_receives_the_remaining_limit) {
  Milliseconds received{0};
  absl::StatusOr<std::unique_ptr<HttpServer>> minion = HttpServer::Create(
      "127.0.0.1", 0, HttpServerLimits{}, [&received](const HttpRequest& request) {
        const absl::StatusOr<MinionCall> call = DecodeMinionCall(request.body);
        MinionAnswer answer;
        answer.ticket = "ticket";
        if (request.path == "/v1/call" && call.ok()) {
          received = call->limit;
          answer.request_id = call->request_id;
        }
        HttpResponse response;
        response.body = EncodeMinionAnswer(answer);
        return response;
      });
  cr_assert(minion.ok());
  RouterFixture fixture(0);
  fixture.AddMinion("fake", (*minion)->port());
  cr_assert(fixture.Call(Idempotency::kNonIdempotent).verdict == Verdict::kRan);
  cr_expect(received > Milliseconds(0) && received <= kCallTimeout);
}

Test(call_router, used_up_connection_share_is_refused_not_run) {
  std::promise<void> arrived;
  std::promise<void> released;
  absl::StatusOr<std::unique_ptr<HttpServer>> minion =
      HttpServer::Create("127.0.0.1", 0, HttpServerLimits{}, [&](const HttpRequest& request) {
        MinionAnswer answer;
        answer.ticket = "ticket";
        if (request.path == "/v1/call") {
          answer.request_id = DecodeMinionCall(request.body)->request_id;
          arrived.set_value();
          released.get_future().wait();
        }
        HttpResponse response;
        response.body = EncodeMinionAnswer(answer);
        return response;
      });
  cr_assert(minion.ok());
  RouterFixture fixture(0);
  fixture.AddMinion("fake", (*minion)->port());
  fixture.service.minions[0].connections = 7;
  CallRequest held;
  held.request_id = "held";
  held.limit = kCallTimeout;
  CallResult held_result;
  std::thread holder([&] { held_result = fixture.router.Route(held, fixture.service, 7); });
  arrived.get_future().wait();
  CallRequest refused = held;
  refused.request_id = "refused";
  const CallResult result = fixture.router.Route(refused, fixture.service, 7);
  released.set_value();
  holder.join();
  cr_expect(result.verdict == Verdict::kNotRun);
  cr_expect(result.reason.find("every minion") != std::string::npos, "%s", result.reason.c_str());
  cr_expect(held_result.verdict == Verdict::kRan);
}

Test(call_router, retry_budget_during_refusals_bounds_retries) {
  RouterFixture fixture(2);
  for (const std::unique_ptr<MinionStandIn>& minion : fixture.minions) {
    minion->Behave(OrderOf(Conduct::kRefuses));
  }
  constexpr int kCalls = 200;
  for (int index = 0; index < kCalls; ++index) {
    cr_assert(fixture.Call(Idempotency::kIdempotent).verdict == Verdict::kNotRun);
  }
  constexpr int kMaxRetries = 20 + kCalls / 10;
  cr_expect_leq(fixture.metrics.counter("papayalift_call_retries_total"), kMaxRetries);
  cr_expect_gt(fixture.metrics.counter("papayalift_call_retries_denied_total"), 0);
}

}  // namespace papayalift
