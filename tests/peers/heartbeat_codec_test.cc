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
  heartbeat.stopping_coverage =
      *rc::gen::element(ListCoverage::kComplete, ListCoverage::kTruncated);
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

Test(heartbeat_codec, encode_then_decode_preserves_all_fields) {
  cr_assert(rc::check([] {
    const Heartbeat sent = ArbitraryHeartbeat();
    const absl::StatusOr<Heartbeat> decoded = DecodeHeartbeat(EncodeHeartbeat(sent));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(EncodeHeartbeat(*decoded) == EncodeHeartbeat(sent));
    RC_ASSERT(decoded->phase == sent.phase && decoded->store == sent.store);
    RC_ASSERT(decoded->hold == sent.hold && decoded->seen == sent.seen);
    RC_ASSERT(decoded->echo == sent.echo && decoded->echo_incarnation == sent.echo_incarnation);
    RC_ASSERT(decoded->stopping == sent.stopping);
    RC_ASSERT(decoded->stopping_coverage == sent.stopping_coverage);
  }));
}

Test(heartbeat_codec, decode_truncated_text_fails_and_changed_text_is_safe) {
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
