#include "libraries/leader/term_history.h"

#include <algorithm>
#include <utility>

namespace papayalift {

namespace {

/// More terms are only seen between two records if no leader can write one. The first of them are
/// those that count.
constexpr std::size_t kMaxTerms = 1'000;

}  // namespace

void TermHistory::RecordTerm(FencingToken token, Milliseconds now) {
  if (m_terms.size() < kMaxTerms) {
    m_terms.try_emplace(token, now);
  }
}

void TermHistory::RecordTermWithoutRecord(FencingToken token) {
  m_last_term_without_record = std::max(m_last_term_without_record, token);
  m_leases_end.clear();
  m_terms.erase(m_terms.begin(), m_terms.upper_bound(token));
}

void TermHistory::RecordLeases(const LeaseRecord& record, Milliseconds now) {
  std::map<std::pair<MinionId, std::int64_t>, Milliseconds> leases_end;
  for (const SilentMinion& silent : record.silent_minions) {
    const Milliseconds end = now + silent.leases_left;
    leases_end.emplace(std::pair(silent.minion, silent.number),
                       std::min(end, LeasesEnd(silent).value_or(end)));
  }
  m_leases_end = std::move(leases_end);
  m_terms.erase(m_terms.begin(), m_terms.upper_bound(record.token));
}

std::optional<Milliseconds> TermHistory::TermSeenAfter(FencingToken token) const {
  const auto found = m_terms.upper_bound(token);
  return found == m_terms.end() ? std::nullopt : std::optional<Milliseconds>(found->second);
}

std::optional<Milliseconds> TermHistory::LeasesEnd(const SilentMinion& entry) const {
  const auto found = m_leases_end.find({entry.minion, entry.number});
  return found == m_leases_end.end() ? std::nullopt : std::optional<Milliseconds>(found->second);
}

}  // namespace papayalift
