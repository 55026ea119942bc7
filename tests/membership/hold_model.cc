#include "membership/hold_model.h"

#include <rapidcheck.h>

#include <utility>

#include "libraries/model/keys.h"
#include "libraries/model/node_codec.h"
#include "libraries/model/zone_codec.h"
#include "libraries/node/hold_promises.h"

namespace papayalift {

namespace {

constexpr Milliseconds kStep{100};

int RandomBelow(int end) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end)); }

bool RandomOneIn(int odds) { return RandomBelow(odds) == 0; }

}  // namespace

/// One node; a restart replaces `process`.
struct HoldModel::Node {
  struct Process {
    Process(const Clock& clock, const NodeId& id, std::string incarnation)
        : progress(clock),
          promises(clock, progress),
          membership(clock, NodeIdentity{id, incarnation}, state, progress) {
      record.id = id;
      record.incarnation = std::move(incarnation);
      membership.SetHoldPromises(promises);
    }

    NodeRecord record;
    FleetState state;
    StoreProgress progress;
    HoldPromises promises;
    Membership membership;
    /// A change that has begun but has not been sent yet.
    std::optional<Transaction> change;
    KnownChanges changes;
  };

  NodeId id;
  std::unique_ptr<Process> process;
  bool linked_to_store = true;
  int frozen_steps = 0;
  int steps_to_start = 0;
  /// A write whose sender has timed out; it is applied before the store answers this node again.
  std::optional<Transaction> late_write;
};

HoldModel::HoldModel() {
  for (std::size_t index = 0; index < kNodes; ++index) {
    m_nodes[index] = std::make_unique<Node>();
    m_nodes[index]->id = NodeId("node-" + std::to_string(index));
    Restart(*m_nodes[index]);
  }
  m_nodes.back()->steps_to_start = RandomBelow(100);
}

HoldModel::~HoldModel() = default;

void HoldModel::Step() {
  m_clock.Advance(kStep);
  if (RandomOneIn(40)) {
    m_store_up = !m_store_up;
  }
  for (const std::unique_ptr<Node>& node : m_nodes) {
    InjectFaults(*node);
    if (node->frozen_steps > 0 || node->steps_to_start > 0) {
      continue;
    }
    UseStore(*node);
    SendChange(*node);
    BeginChange(*node);
    CheckAdmission(*node);
  }
  for (std::size_t from = 0; from < kNodes; ++from) {
    for (std::size_t to = 0; to < kNodes; ++to) {
      if (from != to) {
        ExchangeHeartbeats(from, to);
      }
    }
  }
}

bool HoldModel::Reaches(const Node& node) const { return m_store_up && node.linked_to_store; }

void HoldModel::InjectFaults(Node& node) {
  node.steps_to_start = std::max(0, node.steps_to_start - 1);
  node.frozen_steps = std::max(0, node.frozen_steps - 1);
  if (RandomOneIn(60)) {
    node.linked_to_store = !node.linked_to_store;
  }
  if (RandomOneIn(80)) {
    node.frozen_steps = RandomBelow(30);
  }
  if (RandomOneIn(200)) {
    Restart(node);
  }
}

void HoldModel::Restart(Node& node) {
  // A change sent by the old process may still arrive.
  if (node.process != nullptr && node.process->change) {
    node.late_write = node.process->change;
  }
  node.process = std::make_unique<Node::Process>(m_clock, node.id, std::to_string(++m_processes));
}

void HoldModel::UseStore(Node& node) {
  Node::Process& process = *node.process;
  if (!Reaches(node)) {
    if (RandomOneIn(3)) {
      process.progress.RecordFailure();
    }
    return;
  }
  if (node.late_write) {
    m_store.Commit(*node.late_write);
    node.late_write.reset();
  }
  RegisterIn(node);
  if (RandomOneIn(3)) {
    process.progress.RecordAnswer(m_clock.Now(), m_store.revision());
  }
  if (RandomOneIn(3)) {
    process.state.Reset(*m_store.Range(KeysWithPrefix(keys::kRoot)));
  }
}

void HoldModel::RegisterIn(Node& node) {
  const std::string key = keys::NodeKey(node.id);
  const RangeAnswer known = *m_store.Range(SingleKey(key));
  const std::string own = EncodeNode(node.process->record);
  if (known.records.empty() || known.records.front().value != own) {
    m_store.Commit(Transaction().Put(key, own));
  }
}

void HoldModel::BeginChange(Node& node) {
  Node::Process& process = *node.process;
  const std::shared_ptr<const FleetView> view = process.state.View();
  const bool begins = !process.change && RandomOneIn(8) && process.membership.established() &&
                      process.promises.TryBeginChange();
  if (!begins) {
    return;
  }
  ZoneTable zones = view->zones.value;
  zones.epoch = zones.epoch.Next();
  process.changes = KnownChanges{zones.epoch, BundleVersion(0)};
  process.change = Transaction()
                       .Expect(keys::kZones, view->zones.modified)
                       .Expect(keys::NodeKey(node.id), *process.membership.OwnRecord(*view))
                       .Put(keys::kZones, EncodeZoneTable(zones));
}

void HoldModel::SendChange(Node& node) {
  Node::Process& process = *node.process;
  if (!process.change || !RandomOneIn(3)) {
    return;
  }
  ChangeResult result = ChangeResult::kUnclear;
  if (Reaches(node)) {
    const TransactionOutcome outcome = m_store.Commit(*process.change);
    const bool applied = outcome.result == TransactionResult::kApplied;
    const bool answered = !RandomOneIn(3);
    if (answered) {
      result = applied ? ChangeResult::kApplied : ChangeResult::kNotApplied;
    }
  } else {
    node.late_write = process.change;
  }
  process.change.reset();
  process.promises.EndChange(result, process.changes);
}

void HoldModel::ExchangeHeartbeats(std::size_t from, std::size_t to) {
  Node& sender = *m_nodes[from];
  Node& receiver = *m_nodes[to];
  std::deque<Heartbeat>& link = m_links[from][to];
  const bool sends = sender.frozen_steps == 0 && sender.steps_to_start == 0 && RandomOneIn(3);
  if (sends) {
    link.push_back(sender.process->membership.ComposeHeartbeat(receiver.id));
  }
  if (RandomOneIn(50)) {
    link.clear();
  }
  const bool takes = receiver.frozen_steps == 0 && receiver.steps_to_start == 0 && !RandomOneIn(4);
  while (takes && !link.empty()) {
    receiver.process->membership.OnHeartbeat(link.front());
    link.pop_front();
  }
}

void HoldModel::CheckAdmission(Node& node) {
  Node::Process& process = *node.process;
  const std::shared_ptr<const FleetView> view = process.state.View();
  const KnownChanges seen{view->zones.value.epoch, BundleVersion(0)};
  const bool admitted =
      process.membership.OwnRecord(*view) &&
      process.promises.HoldsAllPromises(process.membership.RegisteredPeerStates(*view), seen);
  if (admitted) {
    ++m_admissions;
    RC_ASSERT(StoredEpoch() == seen.zones);
  }
}

ZoneEpoch HoldModel::StoredEpoch() {
  const RangeAnswer answer = *m_store.Range(SingleKey(keys::kZones));
  return answer.records.empty() ? ZoneEpoch(0)
                                : DecodeZoneTable(answer.records.front().value)->epoch;
}

}  // namespace papayalift
