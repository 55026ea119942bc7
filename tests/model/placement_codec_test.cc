#include "libraries/model/placement_codec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace papayalift {

Test(placement_codec, encode_then_decode_returns_the_same_placement) {
  cr_assert(rc::check("encode and decode a placement", [](const std::vector<std::uint64_t>& tasks) {
    PlacementRecord placement;
    placement.job = JobId("job");
    placement.zone = ZoneId("zone");
    placement.attempt_id = AttemptId("attempt");
    placement.claim = *rc::gen::element(Claim::kGuaranteed, Claim::kBorrowed);
    placement.phase = *rc::gen::element(PlacementPhase::kReserved, PlacementPhase::kCommitted,
                                        PlacementPhase::kStopping);
    placement.after_stop =
        *rc::gen::element(AfterStop::kQueueAgain, AfterStop::kCancel, AfterStop::kFail);
    for (const std::uint64_t bits : tasks) {
      placement.tasks.push_back(TaskPlacement{WorkerId("worker"), AcceleratorSet(bits)});
    }
    const absl::StatusOr<PlacementRecord> decoded = DecodePlacement(EncodePlacement(placement));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded->tasks == placement.tasks);
    RC_ASSERT(decoded->phase == placement.phase);
    RC_ASSERT(decoded->claim == placement.claim);
    RC_ASSERT(decoded->after_stop == placement.after_stop);
  }));
}

}  // namespace papayalift
