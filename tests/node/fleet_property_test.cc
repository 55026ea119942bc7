/// Interleaves nodes, faults of store and workers, operators and callers at random over the
/// production code, and checks the invariants after each step.
#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <ostream>
#include <string>

#include "node/fleet_invariants.h"

namespace papayalift {

namespace {

constexpr int kNodes = 3;
/// Enough to run, stop and run again every job after all faults have ended.
constexpr Milliseconds kRecoveryLimit{240'000};
constexpr Milliseconds kRecoveryPollInterval{2'000};
constexpr std::array<const char*, 4> kWorkers{"a1", "a2", "b1", "b2"};

/// The jobs that callers can submit.
struct JobTemplate {
  const char* key;
  int tasks;
  int accelerators_per_task;
  Idempotency idempotency;
  const char* payload;
};

constexpr std::array<JobTemplate, 7> kJobs{{
    {"pair", 2, 4, Idempotency::kIdempotent, "run 2s"},
    {"pair-once", 2, 4, Idempotency::kNonIdempotent, "run 2s"},
    {"single-once", 1, 2, Idempotency::kNonIdempotent, "run 3s"},
    {"triple", 3, 2, Idempotency::kIdempotent, "run 4s"},
    {"failing", 2, 3, Idempotency::kIdempotent, "fail 1s"},
    {"long", 2, 4, Idempotency::kIdempotent, "run 20s"},
    {"long-once", 2, 3, Idempotency::kNonIdempotent, "run 20s"},
}};

JobSpec SpecOfTemplate(const JobTemplate& job) {
  JobSpec spec = SpecOf(job.key, job.tasks, job.accelerators_per_task);
  spec.idempotency = job.idempotency;
  spec.payload = job.payload;
  return spec;
}

/// The fleet holds all state; there is no separate model.
struct EmptyModel {};

struct FleetUnderTest {
  TestFleet fleet{kNodes};
  FleetInvariants invariants{fleet};
};

using FleetCommand = rc::state::Command<EmptyModel, FleetUnderTest>;

/// One step of the trace, followed by the checks.
class CheckedCommand : public FleetCommand {
 public:
  void run(const EmptyModel& /*model*/, FleetUnderTest& sut) const override {
    Act(sut);
    const std::string broken = sut.invariants.FirstViolation();
    if (!broken.empty()) {
      RC_FAIL(broken);
    }
  }

 protected:
  virtual void Act(FleetUnderTest& sut) const = 0;
};

rc::Gen<int> AnyNode() { return rc::gen::inRange(0, kNodes); }

WorkerId AnyWorker() {
  const int index = *rc::gen::inRange(0, static_cast<int>(kWorkers.size()));
  return WorkerId(kWorkers.at(static_cast<std::size_t>(index)));
}

class Advance final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override { out << "advance " << m_step.count() << " ms"; }

 private:
  void Act(FleetUnderTest& sut) const override { sut.fleet.clock().Advance(m_step); }

  const Milliseconds m_step{*rc::gen::element(50, 250, 500, 1'000, 1'400, 2'500, 6'000, 16'000)};
};

enum class NodeAction { kFollow, kPass, kRenew, kStep, kCycle };

class RunNodeAction final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    constexpr std::array<const char*, 5> kNames{"follow", "pass", "renew", "step", "cycle"};
    out << "node " << m_node << ' ' << kNames.at(static_cast<std::size_t>(m_action));
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    TestNode& node = sut.fleet.node(m_node);
    switch (m_action) {
      case NodeAction::kFollow:
        return node.Follow();
      case NodeAction::kPass:
        return node.RunPass();
      case NodeAction::kRenew:
        return node.RenewLeases();
      case NodeAction::kStep:
        node.Step();
        return;
      case NodeAction::kCycle:
        return node.RunCycle();
    }
  }

  const int m_node = *AnyNode();
  const NodeAction m_action = *rc::gen::element(
      NodeAction::kFollow, NodeAction::kPass, NodeAction::kRenew, NodeAction::kStep,
      NodeAction::kStep, NodeAction::kStep, NodeAction::kCycle, NodeAction::kCycle);
};

/// Runs all nodes for some time.
class RunFleet final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override { out << "run for " << m_time.count() << " ms"; }

 private:
  void Act(FleetUnderTest& sut) const override { sut.fleet.Run(m_time); }

  const Milliseconds m_time{*rc::gen::element(250, 1'000)};
};

class SubmitJob final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "submit " << kJobs.at(m_job).key << " to node " << m_node;
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    const absl::StatusOr<SubmitResult> answer =
        sut.fleet.node(m_node).jobs().Submit(SpecOfTemplate(kJobs.at(m_job)));
    if (answer.ok()) {
      sut.invariants.JobAccepted(answer->job.id);
    }
  }

  const int m_node = *AnyNode();
  const std::size_t m_job = *rc::gen::inRange<std::size_t>(0, kJobs.size());
};

class CancelJob final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "cancel " << kJobs.at(m_job).key << " at node " << m_node;
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    const JobSpec spec = SpecOfTemplate(kJobs.at(m_job));
    const absl::StatusOr<JobRecord> answer =
        sut.fleet.node(m_node).jobs().Cancel(JobIdOf(spec.workspace, spec.key));
    if (answer.ok() && answer->cancel == CancelRequest::kRequested) {
      sut.invariants.CancelAccepted(answer->id);
    }
  }

  const int m_node = *AnyNode();
  const std::size_t m_job = *rc::gen::inRange<std::size_t>(0, kJobs.size());
};

class ChangeZone final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "zone " << m_zone << (m_state == ZoneState::kOut ? " out" : " back") << " at node "
        << m_node;
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    const ZoneChange change{ZoneId(m_zone), m_state, OperatorId("op"), "trial"};
    // The result is ignored, since the invariants read the zones from the store.
    (void)sut.fleet.node(m_node).zones().Change(change);
  }

  const int m_node = *AnyNode();
  const std::string m_zone = *rc::gen::element<std::string>("a", "b");
  const ZoneState m_state = *rc::gen::element(ZoneState::kOut, ZoneState::kIn);
};

class RollBundle final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "roll the " << (m_smaller ? "smaller" : "whole") << " bundle at node " << m_node;
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    BundleManager& manager = sut.fleet.node(m_node).bundles();
    const OperatorId actor("op");
    const absl::StatusOr<CurrentBundle> seen = manager.Current();
    const absl::StatusOr<BundleRecord> draft =
        manager.Submit(m_smaller ? SmallerBundleText() : TestBundleText(), actor);
    if (!seen.ok() || !draft.ok() || !manager.SignOff(draft->version, draft->digest, actor).ok()) {
      return;
    }
    const absl::StatusOr<CurrentBundle> rolled = manager.Roll(draft->version, seen->version, actor);
    if (rolled.ok()) {
      sut.invariants.BundleAccepted(rolled->version);
    }
  }

  const int m_node = *AnyNode();
  const bool m_smaller = *rc::gen::arbitrary<bool>();
};

class FailCommit final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    constexpr std::array<const char*, 4> kNames{"none", "dropped", "answer lost", "delayed"};
    out << "next commit of node " << m_node << ": " << kNames.at(static_cast<std::size_t>(m_fault));
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    sut.fleet.node(m_node).store().FailNextCommit(m_fault);
  }

  const int m_node = *AnyNode();
  const CommitFault m_fault =
      *rc::gen::element(CommitFault::kDropped, CommitFault::kAnswerLost, CommitFault::kDelayed);
};

class DeliverCommits final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override { out << "deliver commits of node " << m_node; }

 private:
  void Act(FleetUnderTest& sut) const override { sut.fleet.node(m_node).store().DeliverDelayed(); }

  const int m_node = *AnyNode();
};

class SetStoreReach final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "store " << (m_reach == StoreReach::kCutOff ? "cut off from" : "back for") << " node "
        << m_node;
  }

 private:
  void Act(FleetUnderTest& sut) const override { sut.fleet.node(m_node).store().SetReach(m_reach); }

  const int m_node = *AnyNode();
  const StoreReach m_reach = *rc::gen::element(StoreReach::kCutOff, StoreReach::kReachable);
};

class FailPacket final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    constexpr std::array<const char*, 5> kNames{"none", "dropped", "answer lost", "duplicated",
                                                "delayed"};
    out << "next packet of node " << m_node << " to " << m_worker.text() << ": "
        << kNames.at(static_cast<std::size_t>(m_fault));
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    sut.fleet.node(m_node).workers().FailNext(m_worker, m_fault);
  }

  const int m_node = *AnyNode();
  const WorkerId m_worker = AnyWorker();
  const PacketFault m_fault = *rc::gen::element(PacketFault::kDropped, PacketFault::kAnswerLost,
                                                PacketFault::kDuplicated, PacketFault::kDelayed);
};

class DeliverPackets final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override { out << "deliver packets"; }

 private:
  void Act(FleetUnderTest& sut) const override { sut.fleet.worker_pool().DeliverDelayed(); }
};

class DisconnectWorker final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "worker " << m_worker.text() << (m_disconnected ? " cut off from all" : " back for all");
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    for (int index = 0; index < kNodes; ++index) {
      FaultyGateway& workers = sut.fleet.node(index).workers();
      m_disconnected ? workers.Disconnect(m_worker) : workers.Reconnect(m_worker);
    }
  }

  const WorkerId m_worker = AnyWorker();
  const bool m_disconnected = *rc::gen::arbitrary<bool>();
};

class RestartWorker final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override { out << "restart " << m_worker.text(); }

 private:
  void Act(FleetUnderTest& sut) const override { sut.fleet.worker_pool().Restart(m_worker); }

  const WorkerId m_worker = AnyWorker();
};

class CrashNode final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override { out << "crash node " << m_node; }

 private:
  void Act(FleetUnderTest& sut) const override { sut.fleet.Crash(m_node); }

  const int m_node = *AnyNode();
};

/// Sets which nodes one node takes for live; nodes may disagree.
class SetLiveNodes final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "node " << m_node << " takes nodes with bits " << m_live << " for live";
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    std::vector<NodeId> live;
    for (int index = 0; index < kNodes; ++index) {
      if ((m_live >> index) % 2 == 1) {
        live.push_back(sut.fleet.node(index).id());
      }
    }
    sut.fleet.node(m_node).membership().SetLive(live);
  }

  const int m_node = *AnyNode();
  const int m_live = *rc::gen::inRange(1, 1 << kNodes);
};

class IsolateNode final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "node " << m_node << (m_isolated ? " cut off from its peers" : " back with its peers");
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    m_isolated ? sut.fleet.Isolate(m_node) : sut.fleet.EndIsolation(m_node);
  }

  const int m_node = *AnyNode();
  const bool m_isolated = *rc::gen::arbitrary<bool>();
};

/// Cuts one node off from a worker that others may still reach.
class DisconnectLink final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override {
    out << "link of node " << m_node << " to " << m_worker.text()
        << (m_disconnected ? " cut" : " back");
  }

 private:
  void Act(FleetUnderTest& sut) const override {
    FaultyGateway& workers = sut.fleet.node(m_node).workers();
    m_disconnected ? workers.Disconnect(m_worker) : workers.Reconnect(m_worker);
  }

  const int m_node = *AnyNode();
  const WorkerId m_worker = AnyWorker();
  const bool m_disconnected = *rc::gen::arbitrary<bool>();
};

class CompactStore final : public CheckedCommand {
 public:
  void show(std::ostream& out) const override { out << "compact the store"; }

 private:
  void Act(FleetUnderTest& sut) const override {
    sut.fleet.store().Compact(sut.fleet.store().revision());
  }
};

/// A command that is listed several times is drawn more often.
const auto kAnyCommand = rc::state::gen::execOneOfWithArgs<
    RunNodeAction, RunNodeAction, RunNodeAction, RunNodeAction, RunNodeAction, RunNodeAction,
    RunFleet, RunFleet, Advance, Advance, SubmitJob, SubmitJob, CancelJob, ChangeZone, RollBundle,
    FailCommit, FailCommit, DeliverCommits, SetStoreReach, FailPacket, FailPacket, DeliverPackets,
    DisconnectWorker, RestartWorker, CrashNode, SetLiveNodes, IsolateNode, DisconnectLink,
    DisconnectLink, CompactStore>();

}  // namespace

Test(fleet, any_interleaving_keeps_every_invariant) {
  const bool held = rc::check("every invariant holds after each step, and all jobs end", [] {
    FleetUnderTest sut;
    rc::state::check(EmptyModel{}, sut, kAnyCommand);
    sut.fleet.ClearFaults();
    std::string broken = sut.invariants.FirstViolationAtRest();
    for (Milliseconds waited{0}; !broken.empty() && waited < kRecoveryLimit;
         waited += kRecoveryPollInterval) {
      sut.fleet.Run(kRecoveryPollInterval);
      broken = sut.invariants.FirstViolationAtRest();
    }
    if (!broken.empty()) {
      RC_FAIL("at rest: " + broken);
    }
  });
  cr_assert(held);
}

}  // namespace papayalift
