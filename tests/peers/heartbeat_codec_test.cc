#include "libraries/peers/heartbeat_codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace papayalift {

namespace {

Heartbeat ArbitraryHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.node = NodeId("node-" + std::to_string(*rc::gen::inRange(0, 99)));
  heartbeat.incarnation = std::to_string(*rc::gen::arbitrary<std::uint64_t>());
  heartbeat.phase =
      *rc::gen::element(NodePhase::kJoining, NodePhase::kServing, NodePhase::kLeaving);
  heartbeat.store = *rc::gen::element(StoreContact::kReachable, StoreContact::kUnreachable);
  heartbeat.hold = *rc::gen::element(HoldPromise::kNone, HoldPromise::kGiven);
  heartbeat.stopping_coverage = *rc::gen::element(ListCoverage::kWhole, ListCoverage::kCut);
  heartbeat.seen = Revision(*rc::gen::arbitrary<std::int64_t>());
  heartbeat.sent_at = Milliseconds(*rc::gen::arbitrary<std::int32_t>());
  heartbeat.echo = Milliseconds(*rc::gen::arbitrary<std::int32_t>());
  heartbeat.echo_incarnation = std::to_string(*rc::gen::inRange(0, 3));
  for (int index = *rc::gen::inRange(0, 5); index > 0; --index) {
    heartbeat.stopping.emplace_back("attempt-" + std::to_string(index));
  }
  return heartbeat;
}

}  // namespace

Test(heartbeat_codec, decode_what_was_encoded_gives_the_same) {
  cr_assert(rc::check([] {
    const Heartbeat sent = ArbitraryHeartbeat();
    const absl::StatusOr<Heartbeat> heard = DecodeHeartbeat(EncodeHeartbeat(sent));
    RC_ASSERT(heard.ok());
    RC_ASSERT(EncodeHeartbeat(*heard) == EncodeHeartbeat(sent));
    RC_ASSERT(heard->phase == sent.phase && heard->store == sent.store);
    RC_ASSERT(heard->hold == sent.hold && heard->seen == sent.seen);
    RC_ASSERT(heard->echo == sent.echo && heard->echo_incarnation == sent.echo_incarnation);
    RC_ASSERT(heard->stopping == sent.stopping);
    RC_ASSERT(heard->stopping_coverage == sent.stopping_coverage);
  }));
}

Test(heartbeat_codec, decode_cut_or_changed_text_fails_or_gives_a_heartbeat) {
  cr_assert(rc::check([] {
    std::string text = EncodeHeartbeat(ArbitraryHeartbeat());
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>()) {
      text.resize(at);
      RC_ASSERT_FALSE(DecodeHeartbeat(text).ok());
    } else {
      text[at] = *rc::gen::arbitrary<char>();
      static_cast<void>(DecodeHeartbeat(text));
    }
  }));
}

}  // namespace papayalift
