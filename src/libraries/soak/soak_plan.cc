#include "libraries/soak/soak_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

#include "libraries/base/enum_names.h"

namespace papayalift {

namespace {

constexpr Milliseconds kMinGap{150};
constexpr Milliseconds kMaxGap{1'800};
constexpr Milliseconds kMinFaultDuration{300};
constexpr Milliseconds kMaxFaultDuration{6'000};
/// Kept short: a store outage longer than the minions' leases ends all running work.
constexpr Milliseconds kMaxStoreFaultDuration{4'000};
constexpr int kMaxCalls = 6;
/// One in this many faults overlaps with another, or occurs twice in a row.
constexpr int kOneInOverlaps = 3;
/// Share of the minions that may be gone for good, as one in this many.
constexpr int kOneInGoneMinions = 4;
constexpr int kMaxKilledLeaders = 4;
constexpr int kMaxPlannedEnds = 8;
constexpr int kMaxOddEntries = 2;
/// Minions that drain serve on for at least this long.
constexpr Milliseconds kMinNotice{2'000};
constexpr Milliseconds kMinLeaderTime{3'500};
constexpr Milliseconds kMaxLeaderTime{7'000};
/// The first actions of kActions, of which a plan is drawn; the rest follows a schedule of its own.
constexpr std::size_t kDrawnActions = 21;

constexpr std::array<EnumName<SoakAction>, 25> kActions{
    {{SoakAction::kKillNode, "kill-node"},
     {SoakAction::kPauseNode, "pause-node"},
     {SoakAction::kStopNode, "stop-node"},
     {SoakAction::kReloadNode, "reload-node"},
     {SoakAction::kNodeToStore, "node-to-store"},
     {SoakAction::kConsumersToNode, "consumers-to-node"},
     {SoakAction::kNodesToMinion, "nodes-to-minion"},
     {SoakAction::kResetNodeToStore, "reset-node-to-store"},
     {SoakAction::kResetConsumersToNode, "reset-consumers-to-node"},
     {SoakAction::kResetNodesToMinion, "reset-nodes-to-minion"},
     {SoakAction::kStoreAway, "store-away"},
     {SoakAction::kStoreRefuses, "store-refuses"},
     {SoakAction::kStoreAnswersLost, "store-answers-lost"},
     {SoakAction::kStoreWritesLate, "store-writes-late"},
     {SoakAction::kStoreForgets, "store-forgets"},
     {SoakAction::kMinionRestarts, "minion-restarts"},
     {SoakAction::kMinionAnswersLost, "minion-answers-lost"},
     {SoakAction::kMinionOrdersLate, "minion-orders-late"},
     {SoakAction::kMinionRefuses, "minion-refuses"},
     {SoakAction::kNewManifest, "new-manifest"},
     {SoakAction::kEvacuation, "evacuation"},
     {SoakAction::kMinionGone, "minion-gone"},
     {SoakAction::kKillLeader, "kill-leader"},
     {SoakAction::kMinionDrains, "minion-drains"},
     {SoakAction::kOddEntry, "odd-entry"}}};

constexpr std::array<EnumName<LinkState>, 5> kLinkStates{
    {{LinkState::kOpen, "open"},
     {LinkState::kDelayed, "delayed"},
     {LinkState::kHeldToServer, "held to server"},
     {LinkState::kHeldToClient, "held to client"},
     {LinkState::kSilent, "silent"}}};

class PlanMaker {
 public:
  PlanMaker(std::uint64_t seed, const SoakSize& size) : m_random(seed), m_size(size) {}

  std::vector<SoakStep> Make() {
    std::vector<SoakStep> steps;
    Milliseconds at = Between(kMinGap, kMaxGap);
    while (at < m_size.duration) {
      steps.push_back(MakeStep(at));
      if (Number(1, kOneInOverlaps) == 1) {
        SoakStep again = Number(0, 1) == 0 ? MakeStep(at) : steps.back();
        again.at = at + Between(Milliseconds(0), kMinGap);
        steps.push_back(again);
      }
      at += Between(kMinGap, kMaxGap);
    }
    AddLossesForGood(steps);
    AddPlannedEnds(steps);
    std::stable_sort(steps.begin(), steps.end(), [](const SoakStep& left, const SoakStep& right) {
      return left.at < right.at;
    });
    return steps;
  }

 private:
  int Number(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_random);
  }
  Milliseconds Between(Milliseconds least, Milliseconds most) {
    return Milliseconds(Number(static_cast<int>(least.count()), static_cast<int>(most.count())));
  }

  /// Some minions are gone for good, and in every second plan leaders are killed one after another
  /// from then on. Drawn last, so that the other steps of a seed stay as they are.
  void AddLossesForGood(std::vector<SoakStep>& steps) {
    Milliseconds at = Between(kMinGap, m_size.duration / 2);
    for (int gone = Number(0, m_size.minions / kOneInGoneMinions); gone > 0; --gone) {
      steps.push_back(SoakStep{.at = at,
                               .action = SoakAction::kMinionGone,
                               .target = Number(0, m_size.minions - 1),
                               .link = {.state = LinkState::kSilent}});
    }
    if (Number(0, 1) == 0) {
      return;
    }
    at += Between(Milliseconds(0), kMaxGap);
    for (int killed = Number(1, kMaxKilledLeaders); killed > 0; --killed) {
      steps.push_back(SoakStep{
          .at = at, .action = SoakAction::kKillLeader, .link = {.state = LinkState::kSilent}});
      at += Between(kMinLeaderTime, kMaxLeaderTime);
    }
  }

  /// Minions restart as planned, one after another or several at once, and some get odd entries.
  /// Drawn after all others, for the same reason.
  void AddPlannedEnds(std::vector<SoakStep>& steps) {
    for (int planned = Number(0, kMaxPlannedEnds); planned > 0; --planned) {
      steps.push_back(SoakStep{.at = Between(kMinGap, m_size.duration),
                               .action = SoakAction::kMinionDrains,
                               .target = Number(0, m_size.minions - 1),
                               .lasts = Between(kMinNotice, kMaxFaultDuration),
                               .link = {.state = LinkState::kSilent}});
    }
    for (int odd = Number(0, kMaxOddEntries); odd > 0; --odd) {
      steps.push_back(SoakStep{.at = Between(kMinGap, m_size.duration),
                               .action = SoakAction::kOddEntry,
                               .target = Number(0, m_size.minions - 1),
                               .link = {.state = LinkState::kSilent}});
    }
  }

  SoakStep MakeStep(Milliseconds at) {
    SoakStep step;
    step.at = at;
    step.action =
        kActions.at(static_cast<std::size_t>(Number(0, static_cast<int>(kDrawnActions) - 1))).value;
    const bool is_of_minion = step.action == SoakAction::kNodesToMinion ||
                              step.action == SoakAction::kResetNodesToMinion ||
                              step.action == SoakAction::kMinionRestarts ||
                              step.action == SoakAction::kMinionAnswersLost ||
                              step.action == SoakAction::kMinionOrdersLate ||
                              step.action == SoakAction::kMinionRefuses;
    step.target = Number(0, (is_of_minion ? m_size.minions : m_size.nodes) - 1);
    step.count = Number(1, kMaxCalls);
    const bool is_of_store = step.action == SoakAction::kStoreAway;
    step.lasts =
        Between(kMinFaultDuration, is_of_store ? kMaxStoreFaultDuration : kMaxFaultDuration);
    step.link.state = kLinkStates.at(static_cast<std::size_t>(Number(1, 4))).value;
    step.link.delay = Between(Milliseconds(1), Milliseconds(400));
    return step;
  }

  std::mt19937_64 m_random;
  const SoakSize m_size;
};

}  // namespace

std::vector<SoakStep> MakeSoakPlan(std::uint64_t seed, const SoakSize& size) {
  return PlanMaker(seed, size).Make();
}

std::string SoakStepText(const SoakStep& step) {
  return fmt::format("{} ms {} {} count {} for {} ms, link {} by {} ms", step.at.count(),
                     EnumText(kActions, step.action), step.target, step.count, step.lasts.count(),
                     EnumText(kLinkStates, step.link.state), step.link.delay.count());
}

}  // namespace papayalift
