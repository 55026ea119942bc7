#include "leader/idle_job_scenario.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace papayalift {

namespace {

constexpr int kNodes = 3;
constexpr int kMaxJobs = 24;
constexpr std::size_t kMaxDeadlyJobs = 2;
/// Share of the minions that may be drained, as a divisor.
constexpr int kMaxDrainedShare = 6;
constexpr Resources kMinionRoom{8'000, 8'000, 8};
constexpr Milliseconds kNodeOutage{1'500};
constexpr Milliseconds kHeartbeatInterval{1'000};
/// How often the states of jobs that may fail are read.
constexpr Milliseconds kStateInterval{500};
/// An order or a write that is carried out late is a fault until then.
constexpr Milliseconds kLateCalls{3'000};
constexpr Milliseconds kDurations[] = {Milliseconds(300),    Milliseconds(1'000),
                                       Milliseconds(3'000),  Milliseconds(8'500),
                                       Milliseconds(20'000), Milliseconds(90'000)};
/// How many tenths of the duration the estimate is.
constexpr int kEstimateTenths[] = {10, 10, 10, 1, 3, 30, 100};

}  // namespace

IdleJobScenario::IdleJobScenario(const RackedFleet& fleet)
    : m_fleet(fleet), m_cluster(kNodes, 0), m_check(m_cluster.timers, m_cluster.minions) {
  m_cluster.PutManifestOfTwoWorkspaces(2);
  for (int number = 0; number < fleet.minions; ++number) {
    m_cluster.minions.Add(MinionId(fmt::format("m{}", number)),
                          RackId(fmt::format("r{}", number / fleet.minions_of_each_rack)),
                          kMinionRoom);
  }
  SendHeartbeatsRegularly();
  m_cluster.Run(Milliseconds(2'000));
}

void IdleJobScenario::SendHeartbeatsRegularly() {
  m_cluster.minions.SendHeartbeats();
  m_cluster.minions.RemoveSilentEntries();
  m_cluster.timers.After(kHeartbeatInterval, [this] { SendHeartbeatsRegularly(); });
}

int IdleJobScenario::Take(int end) {
  const int taken = m_parameter % end;
  m_parameter /= end;
  return taken;
}

void IdleJobScenario::ApplyCalm(int number) {
  m_parameter = number / kCalmIdleJobActions;
  Apply(static_cast<IdleJobAction>(number % kCalmIdleJobActions));
}

void IdleJobScenario::ApplyFaulty(int number) {
  m_parameter = number / kIdleJobActions;
  const IdleJobAction action = static_cast<IdleJobAction>(number % kIdleJobActions);
  if (action < IdleJobAction::kKillLeader) {
    Apply(action);
  } else {
    m_check.NoteFault(m_cluster.timers.clock().Now());
    Disturb(action);
  }
}

void IdleJobScenario::Apply(IdleJobAction action) {
  RegisteredJob job;
  switch (action) {
    case IdleJobAction::kSubmitTasks:
      job.work.steps = {TakeStep(6)};
      job.failing_attempts = Take(4) == 0 ? 1 : 0;
      Submit(std::move(job));
      break;
    case IdleJobAction::kSubmitTasksWithData:
      job.work.steps = {TakeStep(6)};
      job.work.steps[0].data_rack = TakeRack();
      Submit(std::move(job));
      break;
    case IdleJobAction::kSubmitGang:
    case IdleJobAction::kSubmitGangForOneRack:
      job.work.steps = {TakeStep(action == IdleJobAction::kSubmitGang ? 12 : 6)};
      job.work.steps[0].kind = WorkStepKind::kGang;
      job.work.steps[0].prefers_one_rack = action == IdleJobAction::kSubmitGangForOneRack;
      Submit(std::move(job));
      break;
    case IdleJobAction::kSubmitChain:
      SubmitChain();
      break;
    case IdleJobAction::kFillRack:
      FillRack();
      break;
    case IdleJobAction::kRunBriefly:
      Run(Milliseconds(50 + Take(1'000)));
      break;
    case IdleJobAction::kRunLonger:
      Run(Milliseconds(1'000 + Take(6'000)));
      break;
    case IdleJobAction::kCancel:
    default:
      Cancel();
      break;
  }
}

void IdleJobScenario::Disturb(IdleJobAction action) {
  switch (action) {
    case IdleJobAction::kKillLeader:
      KillLeader();
      break;
    case IdleJobAction::kRestartMinion:
      m_cluster.minions.Restart(TakeMinion());
      break;
    case IdleJobAction::kCrashMinion:
      CrashMinion();
      break;
    case IdleJobAction::kCutMinionOff:
      CutMinionOff();
      break;
    case IdleJobAction::kFailOrders:
      FailOrders();
      break;
    case IdleJobAction::kFailCommits:
      FailCommits();
      break;
    case IdleJobAction::kDrainMinion:
      DrainMinion();
      break;
    case IdleJobAction::kSubmitDeadlyTask:
    default:
      SubmitDeadlyTask();
      break;
  }
}

void IdleJobScenario::CrashMinion() {
  const MinionId minion = TakeMinion();
  MinionOutage outage;
  outage.comes_back = Take(2) == 0 ? MinionReturn::kSameId : MinionReturn::kNewId;
  outage.kind = Take(2) == 0 ? OutageKind::kRefused : OutageKind::kSilent;
  m_cluster.minions.Crash(minion, outage);
}

void IdleJobScenario::FailOrders() {
  static constexpr OrderFault kFaults[] = {OrderFault::kLost, OrderFault::kAnswerLost,
                                           OrderFault::kLate, OrderFault::kRefused};
  const MinionId minion = TakeMinion();
  const OrderFault fault = kFaults[Take(static_cast<int>(std::size(kFaults)))];
  m_cluster.minions.FailNextOrders(minion, {fault, fault});
}

void IdleJobScenario::FailCommits() {
  static constexpr StoreFault kFaults[] = {StoreFault::kRefused, StoreFault::kAnswerLost,
                                           StoreFault::kAppliedLate};
  const StoreFault fault = kFaults[Take(static_cast<int>(std::size(kFaults)))];
  if (ClusterNode* const leader = m_cluster.leader(); leader != nullptr) {
    leader->store().FailNextCommits({StoreFault::kNone, fault, fault});
  }
}

void IdleJobScenario::DrainMinion() {
  const MinionId minion = TakeMinion();
  if (m_drained < m_fleet.minions / kMaxDrainedShare && m_cluster.minions.IsUp(minion)) {
    ++m_drained;
    m_cluster.minions.SetDraining(minion);
  }
}

void IdleJobScenario::SubmitDeadlyTask() {
  if (m_deadly.size() >= kMaxDeadlyJobs || m_jobs >= kMaxJobs) {
    return;
  }
  m_deadly.insert(MakeJobId(m_jobs + 1));
  RegisteredJob job;
  job.work.steps = {TakeStep(3)};
  job.deadly_tasks = {DeadlyTask{0, 0}};
  Submit(std::move(job));
}

StepSpec IdleJobScenario::TakeStep(int max_count) {
  constexpr std::int64_t kAccelerators[] = {8, 8, 1, 2, 4, 5};
  const int count = 1 + Take(max_count);
  return MakeStep(count, kAccelerators[Take(static_cast<int>(std::size(kAccelerators)))]);
}

Milliseconds IdleJobScenario::TakeDuration() {
  return kDurations[Take(static_cast<int>(std::size(kDurations)))];
}

RackId IdleJobScenario::TakeRack() {
  const int racks = (m_fleet.minions - 1) / m_fleet.minions_of_each_rack + 1;
  return RackId(fmt::format("r{}", Take(racks)));
}

MinionId IdleJobScenario::MinionOn(int machine) const {
  return m_cluster.minions.NewestOn(MinionId(fmt::format("m{}", machine)));
}

MinionId IdleJobScenario::TakeMinion() { return MinionOn(Take(m_fleet.minions)); }

void IdleJobScenario::SubmitChain() {
  RegisteredJob job;
  const int steps = 2 + Take(2);
  for (int step = 0; step < steps; ++step) {
    job.work.steps.push_back(TakeStep(4));
    StepSpec& added = job.work.steps.back();
    added.kind = Take(2) == 0 ? WorkStepKind::kIndependentTasks : WorkStepKind::kGang;
    added.prefers_one_rack = added.kind == WorkStepKind::kGang && step > 0;
    if (step > 0) {
      added.after = {step - 1};
    }
  }
  Submit(std::move(job));
}

/// A job that takes whole minions of one rack for long.
void IdleJobScenario::FillRack() {
  RegisteredJob job;
  job.work.steps = {MakeStep(1 + Take(m_fleet.minions_of_each_rack), kMinionRoom.accelerators)};
  job.work.steps[0].data_rack = TakeRack();
  job.duration = *std::prev(std::end(kDurations));
  Submit(std::move(job));
}

void IdleJobScenario::Submit(RegisteredJob job) {
  if (m_jobs >= kMaxJobs) {
    return;
  }
  if (job.duration != *std::prev(std::end(kDurations))) {
    job.duration = TakeDuration();
  }
  const int tenths = kEstimateTenths[Take(static_cast<int>(std::size(kEstimateTenths)))];
  for (StepSpec& step : job.work.steps) {
    step.estimate = job.duration * tenths / 10;
  }
  const JobId id = MakeJobId(++m_jobs);
  const Owner owner{Priority(2 - Take(3)), Take(2) == 0 ? "key" : "other"};
  m_cluster.minions.RegisterJob(id, job);
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (m_cluster.is_alive(index)) {
      const JobReply reply = m_cluster.node(index).Ask(
          JobRequestKind::kSubmit, fmt::format("/p{}/{}", owner.priority.value(), id.text()),
          owner.key, EncodeJobBody(job.work));
      if (reply.kind == JobReplyKind::kAccepted) {
        m_owners[id] = owner;
        m_check.Watch(id, job.work);
      }
      return;
    }
  }
}

void IdleJobScenario::Cancel() {
  if (m_owners.empty()) {
    return;
  }
  const auto chosen = std::next(m_owners.begin(), Take(static_cast<int>(m_owners.size())));
  const auto [id, owner] = *chosen;
  m_owners.erase(chosen);
  m_check.Forget(id);
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (m_cluster.is_alive(index)) {
      m_cluster.node(index).Ask(JobRequestKind::kCancel, "/p1/" + id.text(), owner.key);
      return;
    }
  }
}

void IdleJobScenario::KillLeader() {
  const std::size_t index = m_cluster.leader_index();
  if (index == kNodes) {
    return;
  }
  m_cluster.Kill(index);
  m_check.NoteFault(m_cluster.timers.clock().Now() + kNodeOutage);
  m_cluster.timers.After(kNodeOutage, [this, index] { m_cluster.Restart(index); });
}

void IdleJobScenario::CutMinionOff() {
  const MinionId minion = TakeMinion();
  const Milliseconds duration(500 + Take(6'000));
  m_cluster.minions.SetReachable(minion, false);
  m_check.NoteFault(m_cluster.timers.clock().Now() + duration);
  m_cluster.timers.After(duration,
                         [this, minion] { m_cluster.minions.SetReachable(minion, true); });
}

void IdleJobScenario::EndFaults() {
  for (int machine = 0; machine < m_fleet.minions; ++machine) {
    m_cluster.minions.FailNextOrders(MinionOn(machine), {});
  }
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (m_cluster.is_alive(index)) {
      m_cluster.node(index).store().FailNextCommits({});
    }
  }
  m_check.NoteFault(m_cluster.timers.clock().Now() + kLateCalls);
}

void IdleJobScenario::RunOn() { Run(Milliseconds(15'000)); }

void IdleJobScenario::Run(Milliseconds time) {
  const Milliseconds end = m_cluster.timers.clock().Now() + time;
  while (m_cluster.timers.clock().Now() < end) {
    m_cluster.Run(std::min(kStateInterval, end - m_cluster.timers.clock().Now()));
    ForgetFailedJobs();
  }
}

void IdleJobScenario::ForgetFailedJobs() {
  for (const auto& [job, owner] : m_owners) {
    if (MayFail(job) && !m_failed.contains(job) && StateOf(job) == WorkState::kFailed) {
      m_failed.insert(job);
      m_check.Forget(job);
    }
  }
}

bool IdleJobScenario::MayFail(const JobId& job) const {
  return m_deadly.contains(job) || m_cluster.minions.HasLostTaskOnTwoMachines(job);
}

WorkState IdleJobScenario::StateOf(const JobId& job) {
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (m_cluster.is_alive(index)) {
      return m_cluster.node(index)
          .Ask(JobRequestKind::kQuery, "/p1/" + job.text(), m_owners.at(job).key)
          .state;
    }
  }
  return WorkState::kQueued;
}

void IdleJobScenario::Check() {
  for (const std::string& violation : m_cluster.minions.violations()) {
    RC_FAIL(violation);
  }
  for (const auto& [job, seen] : m_check.idle_jobs()) {
    RC_FAIL(seen);
  }
}

void CheckIdleJobs(const IdleJobSequence& sequence) {
  IdleJobScenario scenario(sequence.fleet);
  for (const int number : sequence.calm) {
    scenario.ApplyCalm(number);
  }
  scenario.Check();
  for (const int number : sequence.faulty) {
    scenario.ApplyFaulty(number);
  }
  scenario.EndFaults();
  scenario.RunOn();
  scenario.Check();
  for (const int number : sequence.calm_again) {
    scenario.ApplyCalm(number);
  }
  scenario.RunOn();
  scenario.Check();
  RC_TAG(fmt::format("a job was idle for {} s", scenario.longest_idle() / Milliseconds(1'000)));
}

}  // namespace papayalift
