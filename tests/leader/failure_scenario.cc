#include "leader/failure_scenario.h"

#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace papayalift {

namespace {

constexpr int kMaxJobs = 12;
/// Ends of one machine's minions under a task after which it may be given up.
constexpr int kMinLossesOnOneMachineToGiveUp = 4;
/// A few deadly jobs end within the time that all others have.
constexpr std::size_t kMaxDeadlyJobs = 2;

StepSpec MakeGangStep(int count, std::int64_t accelerators) {
  StepSpec step = MakeStep(count, accelerators);
  step.kind = WorkStepKind::kGang;
  return step;
}

}  // namespace

void FailureScenario::Apply(int number) {
  if (number >= kFirstCrashNumber) {
    const int crash_number = number - kFirstCrashNumber;
    m_parameter = crash_number / kCrashActionKinds;
    ApplyCrashAction(static_cast<CrashAction>(crash_number % kCrashActionKinds));
    return;
  }
  const Action action = static_cast<Action>(number % kActionKinds);
  m_parameter = number / kActionKinds;
  switch (action) {
    case Action::kSubmitTasks:
      Submit(MakeStep(1 + m_parameter % 5, 1 + m_parameter % 4), Priority(2));
      break;
    case Action::kSubmitGang:
      Submit(MakeGangStep(1 + m_parameter % 4, 1 + m_parameter % 8), Priority(1));
      break;
    case Action::kSubmitSteps:
      SubmitTwoSteps();
      break;
    case Action::kSubmitGuaranteed:
      Submit(MakeGangStep(1 + m_parameter % 2, 1 + m_parameter % 8), Priority(0));
      break;
    case Action::kSubmitFailing:
      Submit(MakeStep(1, 2), Priority(1), 1);
      break;
    case Action::kCancel:
      Cancel();
      break;
    case Action::kKillNode:
      KillNode();
      break;
    case Action::kRestartNodes:
      RestartNodes();
      break;
    case Action::kDisconnectNode:
      SetNodeReachable(false);
      break;
    case Action::kReconnectNode:
      SetNodeReachable(true);
      break;
    case Action::kLoseCommits:
      FailCommits(StoreFault::kAnswerLost);
      break;
    case Action::kDelayCommits:
      FailCommits(StoreFault::kAppliedLate);
      break;
    case Action::kRestartMinion:
      m_cluster.minions.Restart(ChosenMinion());
      break;
    case Action::kDisconnectMinion:
      m_cluster.minions.SetReachable(ChosenMinion(), false);
      break;
    case Action::kReconnectMinions:
      ReconnectMinions();
      break;
    case Action::kLoseOrders:
      m_cluster.minions.FailNextOrders(ChosenMinion(),
                                       {OrderFault::kAnswerLost, OrderFault::kLost});
      break;
    case Action::kDelayOrders:
      m_cluster.minions.FailNextOrders(ChosenMinion(), {OrderFault::kLate, OrderFault::kLate});
      break;
    case Action::kCompactHistory:
      m_cluster.store.CompactHistory();
      break;
    case Action::kChangeManifest:
      m_cluster.PutManifest(++m_version);
      break;
    case Action::kRunBriefly:
      m_cluster.Run(Milliseconds(1 + m_parameter % 40));
      break;
    case Action::kRunLonger:
      m_cluster.Run(Milliseconds(100 + m_parameter % 3'000));
      break;
  }
}

void FailureScenario::Settle() {
  RestartNodes();
  for (std::size_t index = 0; index < kNodes; ++index) {
    m_cluster.node(index).store().SetReachable(true);
    m_cluster.node(index).store().FailNextCommits({});
  }
  ReconnectMinions();
  for (int number = 0; number < kMinions; ++number) {
    m_cluster.minions.FailNextOrders(MinionOn(number), {});
  }
  constexpr Milliseconds kSettleTime{60'000};
  m_cluster.Run(kSettleTime);
}

void FailureScenario::Check() {
  for (const std::string& violation : m_cluster.minions.violations()) {
    RC_FAIL(violation);
  }
  for (const JobId& job : m_accepted) {
    const WorkState state = m_cluster.StateOf(job);
    if (!IsRightEnd(job, state)) {
      RC_FAIL("job " + job.text() + " is left in state " + std::to_string(static_cast<int>(state)));
    }
  }
}

bool FailureScenario::IsRightEnd(const JobId& job, WorkState state) const {
  if (state == WorkState::kCancelled) {
    return std::find(m_cancelled.begin(), m_cancelled.end(), job) != m_cancelled.end();
  }
  const bool is_deadly = std::find(m_deadly.begin(), m_deadly.end(), job) != m_deadly.end();
  if (is_deadly) {
    return state == WorkState::kFailed;
  }
  // A task under which minions have ended on two machines may be given up. Sequences without
  // crashes hold without that.
  const bool may_fail = m_has_crashes && (m_cluster.minions.HasLostTaskOnTwoMachines(job) ||
                                          m_cluster.minions.max_lost_runs_of_task(job) >=
                                              kMinLossesOnOneMachineToGiveUp);
  return state == WorkState::kDone || (state == WorkState::kFailed && may_fail);
}

MinionId FailureScenario::ChosenMinion() const { return MinionOn(m_parameter % kMinions); }

MinionId FailureScenario::MinionOn(int machine) const {
  return m_cluster.minions.NewestOn(MinionId("m" + std::to_string(machine)));
}

void FailureScenario::ApplyCrashAction(CrashAction action) {
  m_has_crashes = true;
  MinionOutage outage;
  switch (action) {
    case CrashAction::kSubmitDeadlyTask:
      SubmitDeadly(MakeStep(1 + m_parameter % 3, 1 + m_parameter % 4));
      break;
    case CrashAction::kSubmitDeadlyGang:
      SubmitDeadly(MakeGangStep(1 + m_parameter % 3, 1 + m_parameter % 8));
      break;
    case CrashAction::kCrashMinion:
      m_cluster.minions.Crash(ChosenMinion(), outage);
      break;
    case CrashAction::kCrashMinionForNewId:
      outage.comes_back = MinionReturn::kNewId;
      m_cluster.minions.Crash(ChosenMinion(), outage);
      break;
    case CrashAction::kLoseZone:
      m_cluster.minions.LoseZone(ZoneId("a"));
      break;
  }
}

void FailureScenario::Submit(const StepSpec& step, Priority priority, int failing_attempts) {
  RegisteredJob job;
  job.work.steps = {step};
  job.failing_attempts = failing_attempts;
  Submit(std::move(job), priority);
}

void FailureScenario::SubmitTwoSteps() {
  RegisteredJob job;
  job.work.steps = {MakeStep(2, 1), MakeGangStep(2, 2)};
  job.work.steps[1].after = {0};
  Submit(std::move(job), Priority(2));
}

void FailureScenario::Submit(RegisteredJob job, Priority priority) {
  if (m_jobs >= kMaxJobs) {
    return;
  }
  job.duration = Milliseconds(200 + (m_parameter % 5) * 500);
  const JobId id = MakeJobId(++m_jobs);
  if (m_cluster.Submit(id, job, priority).kind == JobReplyKind::kAccepted) {
    m_accepted.push_back(id);
  }
}

void FailureScenario::SubmitDeadly(const StepSpec& step) {
  if (m_deadly.size() >= kMaxDeadlyJobs || m_jobs >= kMaxJobs) {
    return;
  }
  m_deadly.push_back(MakeJobId(m_jobs + 1));
  RegisteredJob job;
  job.work.steps = {step};
  job.deadly_tasks = {DeadlyTask{0, m_parameter % step.count}};
  // Some crash their minion before the start is answered, others while it reports the run.
  constexpr Milliseconds kCrashDelays[] = {Milliseconds(1), Milliseconds(10), Milliseconds(150)};
  job.crash_delay = kCrashDelays[m_parameter % std::size(kCrashDelays)];
  Submit(std::move(job), Priority(1));
}

void FailureScenario::Cancel() {
  if (m_accepted.empty()) {
    return;
  }
  const JobId id = m_accepted[static_cast<std::size_t>(m_parameter) % m_accepted.size()];
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (m_cluster.is_alive(index)) {
      m_cluster.node(index).Ask(JobRequestKind::kCancel, "/p1/" + id.text(), "key");
      m_cancelled.push_back(id);
      return;
    }
  }
}

void FailureScenario::KillNode() {
  const std::size_t index = static_cast<std::size_t>(m_parameter) % kNodes;
  if (m_cluster.is_alive(index)) {
    m_cluster.Kill(index);
  }
}

void FailureScenario::RestartNodes() {
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (!m_cluster.is_alive(index)) {
      m_cluster.Restart(index);
    }
  }
}

void FailureScenario::SetNodeReachable(bool is_reachable) {
  const std::size_t index = static_cast<std::size_t>(m_parameter) % kNodes;
  if (m_cluster.is_alive(index)) {
    m_cluster.node(index).store().SetReachable(is_reachable);
  }
}

void FailureScenario::FailCommits(StoreFault fault) {
  if (ClusterNode* const leader = m_cluster.leader(); leader != nullptr) {
    leader->store().FailNextCommits({StoreFault::kNone, fault, fault});
  }
}

void FailureScenario::ReconnectMinions() {
  for (int number = 0; number < kMinions; ++number) {
    m_cluster.minions.SetReachable(MinionOn(number), true);
  }
}

void CheckSequence(const std::vector<int>& numbers) {
  FailureScenario scenario;
  for (const int number : numbers) {
    scenario.Apply(number);
  }
  scenario.Settle();
  scenario.Check();
}

}  // namespace papayalift
