#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

#include "leader/test_office.h"

namespace papayalift {

namespace {

constexpr std::size_t kNodes = 3;
constexpr int kMinions = 4;
constexpr int kMostJobs = 12;

enum class Step {
  kSubmitSingles,
  kSubmitGang,
  kSubmitSteps,
  kSubmitGuaranteed,
  kSubmitFailing,
  kCancel,
  kKillNode,
  kReviveNodes,
  kCutNode,
  kHealNodes,
  kLoseCommits,
  kDelayCommits,
  kRestartMinion,
  kCutMinion,
  kHealMinions,
  kLoseOrders,
  kDelayOrders,
  kForgetHistory,
  kChangeManifest,
  kRunBriefly,
  kRunLonger,
};
constexpr int kStepKinds = static_cast<int>(Step::kRunLonger) + 1;

/// Drives an office by a list of numbers, each a step with its choice.
class Story {
 public:
  void Apply(int number) {
    const Step step = static_cast<Step>(number % kStepKinds);
    m_choice = number / kStepKinds;
    switch (step) {
      case Step::kSubmitSingles:
        Submit(StepOfTasks(1 + m_choice % 5, 1 + m_choice % 4), Priority(2));
        break;
      case Step::kSubmitGang:
        Submit(GangOf(1 + m_choice % 4, 1 + m_choice % 8), Priority(1));
        break;
      case Step::kSubmitSteps:
        SubmitTwoSteps();
        break;
      case Step::kSubmitGuaranteed:
        Submit(GangOf(1 + m_choice % 2, 1 + m_choice % 8), Priority(0));
        break;
      case Step::kSubmitFailing:
        Submit(StepOfTasks(1, 2), Priority(1), 1);
        break;
      case Step::kCancel:
        Cancel();
        break;
      case Step::kKillNode:
        KillNode();
        break;
      case Step::kReviveNodes:
        ReviveNodes();
        break;
      case Step::kCutNode:
        SetNodeReachable(false);
        break;
      case Step::kHealNodes:
        SetNodeReachable(true);
        break;
      case Step::kLoseCommits:
        FailCommits(StoreFault::kAnswerLost);
        break;
      case Step::kDelayCommits:
        FailCommits(StoreFault::kDoneLate);
        break;
      case Step::kRestartMinion:
        m_office.minions.Restart(ChosenMinion());
        break;
      case Step::kCutMinion:
        m_office.minions.SetReachable(ChosenMinion(), false);
        break;
      case Step::kHealMinions:
        HealMinions();
        break;
      case Step::kLoseOrders:
        m_office.minions.FailNextOrders(ChosenMinion(),
                                        {OrderFault::kAnswerLost, OrderFault::kLost});
        break;
      case Step::kDelayOrders:
        m_office.minions.FailNextOrders(ChosenMinion(), {OrderFault::kLate, OrderFault::kLate});
        break;
      case Step::kForgetHistory:
        m_office.store.ForgetHistory();
        break;
      case Step::kChangeManifest:
        m_office.PutManifest(++m_version);
        break;
      case Step::kRunBriefly:
        m_office.Run(Milliseconds(1 + m_choice % 40));
        break;
      case Step::kRunLonger:
        m_office.Run(Milliseconds(100 + m_choice % 3'000));
        break;
    }
  }

  /// Everything heals, and time goes on until all that was accepted must have ended.
  void Settle() {
    ReviveNodes();
    for (std::size_t index = 0; index < kNodes; ++index) {
      m_office.node(index).store().SetReachable(true);
      m_office.node(index).store().FailNextCommits({});
    }
    HealMinions();
    for (int number = 0; number < kMinions; ++number) {
      m_office.minions.FailNextOrders(MinionId("m" + std::to_string(number)), {});
    }
    constexpr Milliseconds kLongEnough{60'000};
    m_office.Run(kLongEnough);
  }

  void Check() {
    for (const std::string& broken : m_office.minions.broken()) {
      RC_FAIL(broken);
    }
    for (const JobId& job : m_accepted) {
      const WorkState state = m_office.StateOf(job);
      const bool was_cancelled =
          std::find(m_cancelled.begin(), m_cancelled.end(), job) != m_cancelled.end();
      if (!HasEnded(state) || (state == WorkState::kCancelled && !was_cancelled) ||
          state == WorkState::kFailed) {
        RC_FAIL("job " + job.text() + " is left in state " +
                std::to_string(static_cast<int>(state)));
      }
    }
  }

 private:
  static StepSpec GangOf(int count, std::int64_t accelerators) {
    StepSpec step = StepOfTasks(count, accelerators);
    step.kind = WorkStepKind::kGang;
    return step;
  }

  MinionId ChosenMinion() const { return MinionId("m" + std::to_string(m_choice % kMinions)); }

  void Submit(const StepSpec& step, Priority priority, int failing_attempts = 0) {
    KnownJob job;
    job.work.steps = {step};
    job.failing_attempts = failing_attempts;
    Submit(std::move(job), priority);
  }

  void SubmitTwoSteps() {
    KnownJob job;
    job.work.steps = {StepOfTasks(2, 1), GangOf(2, 2)};
    job.work.steps[1].after = {0};
    Submit(std::move(job), Priority(2));
  }

  void Submit(KnownJob job, Priority priority) {
    if (m_jobs >= kMostJobs) {
      return;
    }
    job.duration = Milliseconds(200 + (m_choice % 5) * 500);
    const JobId id = NumberedJob(++m_jobs);
    if (m_office.Submit(id, job, priority).kind == JobReplyKind::kAccepted) {
      m_accepted.push_back(id);
    }
  }

  void Cancel() {
    if (m_accepted.empty()) {
      return;
    }
    const JobId id = m_accepted[static_cast<std::size_t>(m_choice) % m_accepted.size()];
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (m_office.is_alive(index)) {
        m_office.node(index).Ask(JobRequestKind::kCancel, "/p1/" + id.text(), "key");
        m_cancelled.push_back(id);
        return;
      }
    }
  }

  void KillNode() {
    const std::size_t index = static_cast<std::size_t>(m_choice) % kNodes;
    if (m_office.is_alive(index)) {
      m_office.Kill(index);
    }
  }

  void ReviveNodes() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (!m_office.is_alive(index)) {
        m_office.Revive(index);
      }
    }
  }

  void SetNodeReachable(bool is_reachable) {
    const std::size_t index = static_cast<std::size_t>(m_choice) % kNodes;
    if (m_office.is_alive(index)) {
      m_office.node(index).store().SetReachable(is_reachable);
    }
  }

  void FailCommits(StoreFault fault) {
    if (OfficeNode* const leader = m_office.leader(); leader != nullptr) {
      leader->store().FailNextCommits({StoreFault::kNone, fault, fault});
    }
  }

  void HealMinions() {
    for (int number = 0; number < kMinions; ++number) {
      m_office.minions.SetReachable(MinionId("m" + std::to_string(number)), true);
    }
  }

  TestOffice m_office{static_cast<int>(kNodes), kMinions};
  int m_choice = 0;
  int m_jobs = 0;
  int m_version = 1;
  std::vector<JobId> m_accepted;
  std::vector<JobId> m_cancelled;
};

}  // namespace

Test(office, any_story_keeps_the_rules_and_ends_every_job) {
  const bool held = rc::check("nodes, store and minions that fail in any order", [] {
    const std::vector<int> steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, kStepKinds * 1'000));
    Story story;
    for (const int step : steps) {
      story.Apply(step);
    }
    story.Settle();
    story.Check();
  });
  cr_assert(held);
}

}  // namespace papayalift
