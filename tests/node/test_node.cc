#include "node/test_node.h"

namespace papayalift {

namespace {

constexpr std::size_t kMaxSessions = 1'024;
/// More steps than the sessions of any test run before they wait for time to pass.
constexpr int kMaxSteps = 200;

NodeRecord RecordOf(const NodeId& id, const std::string& incarnation) {
  NodeRecord record;
  record.id = id;
  record.incarnation = incarnation;
  return record;
}

}  // namespace

TestNode::TestNode(const NodeId& id, const std::string& incarnation, const Clock& clock,
                   MemoryStore& store, FakeWorkerPool& worker_pool)
    : m_id(id),
      m_store(store),
      m_workers(worker_pool),
      m_progress(clock),
      m_probe(clock, m_store, m_progress),
      m_membership(clock, NodeIdentity{id, incarnation}, m_state, m_progress),
      m_view(clock, m_store, kViewLimit),
      m_audit(clock, id),
      m_attempt_ids(id, incarnation),
      m_registry(m_store, m_audit, RecordOf(id, incarnation)),
      m_runner(clock, kMaxSessions),
      m_context{clock,   m_store,   m_workers,         m_view,
                m_audit, m_metrics, kReservationLease, kRunLease},
      m_follower(m_store, m_state, m_view, m_metrics),
      m_scheduler(m_context, m_state, m_membership, id, m_attempt_ids, m_runner),
      m_lease_keeper(m_context, m_state, m_membership, m_progress, id, m_runner, kRenewalInterval),
      m_jobs(clock, m_store, m_state, m_audit),
      m_zones(m_store, m_state, m_audit),
      m_bundles(clock, m_store, m_audit) {
  m_membership.SetStoppingAttempts(
      [this](const FleetView& view) { return StoppingAttempts(view, m_runner); });
}

void TestNode::Follow() {
  m_probe.Probe();
  m_follower.Follow();
}

void TestNode::RunCycle() {
  Follow();
  RunPass();
  RenewLeases();
  for (int steps = 0; steps < kMaxSteps && Step(); ++steps) {
  }
}

}  // namespace papayalift
