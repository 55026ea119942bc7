#include "libraries/node/bundle_manager.h"

#include <fmt/format.h>

#include <algorithm>

#include "libraries/base/try.h"
#include "libraries/decisions/bundle_check.h"
#include "libraries/model/bundle_codec.h"
#include "libraries/model/bundle_file.h"
#include "libraries/model/keys.h"
#include "libraries/node/versioned.h"

namespace papayalift {

namespace {

constexpr int kSubmitTries = 5;
/// Number of versions that are kept, including the one in force.
constexpr std::int64_t kVersionsKept = 50;
/// Versions removed per roll; the key-value service limits the writes of a transaction.
constexpr std::int64_t kMaxVersionsRemoved = 60;

/// Removes all but the newest versions, since bundles are large. Deleting a version that does not
/// exist has no effect.
void RemoveOldVersions(Transaction& transaction, BundleVersion rolled) {
  const std::int64_t oldest_kept = rolled.value() - kVersionsKept + 1;
  const std::int64_t first = std::max<std::int64_t>(1, oldest_kept - kMaxVersionsRemoved);
  for (std::int64_t version = first; version < oldest_kept; ++version) {
    transaction.Delete(keys::BundleKey(BundleVersion(version)));
  }
}

absl::StatusOr<Versioned<CurrentBundle>> ReadCurrent(KeyValueService& store) {
  const RangeAnswer answer = TRY(store.Range(SingleKey(keys::kCurrentBundle)));
  if (answer.records.empty()) {
    return Versioned<CurrentBundle>{};
  }
  const KeyValue& record = answer.records.front();
  return Versioned<CurrentBundle>{TRY(DecodeCurrentBundle(record.value)), record.modified};
}

absl::StatusOr<Versioned<BundleRecord>> ReadVersion(KeyValueService& store, BundleVersion version) {
  const RangeAnswer answer = TRY(store.Range(SingleKey(keys::BundleKey(version))));
  if (answer.records.empty()) {
    return absl::NotFoundError(fmt::format("there is no bundle version {}", version.value()));
  }
  const KeyValue& record = answer.records.front();
  return Versioned<BundleRecord>{TRY(DecodeBundleRecord(record.value)), record.modified};
}

absl::Status StatusOfOutcome(const TransactionOutcome& outcome, const std::string& conflict) {
  switch (outcome.result) {
    case TransactionResult::kApplied:
      return absl::OkStatus();
    case TransactionResult::kConflict:
      return absl::AbortedError(conflict);
    case TransactionResult::kNotSent:
      return absl::UnavailableError("the key-value service can't be reached; nothing was changed");
    case TransactionResult::kUnclear:
      break;
  }
  return absl::UnknownError("the change may have been made; list the bundle versions to find out");
}

/// Whether the store holds `written`, whoever wrote it.
bool IsStored(KeyValueService& store, const BundleRecord& written) {
  const absl::StatusOr<Versioned<BundleRecord>> found = ReadVersion(store, written.version);
  return found.ok() && EncodeBundleRecord(found->value) == EncodeBundleRecord(written);
}

bool IsInForce(KeyValueService& store, BundleVersion version) {
  const absl::StatusOr<Versioned<CurrentBundle>> current = ReadCurrent(store);
  return current.ok() && current->value.version == version;
}

/// As StatusOfOutcome(). Where the response was lost, `done` reads back whether the change was
/// made.
template <typename Done>
absl::Status Resolve(const TransactionOutcome& outcome, const std::string& conflict,
                     const Done& done) {
  if (outcome.result == TransactionResult::kUnclear && done()) {
    return absl::OkStatus();
  }
  return StatusOfOutcome(outcome, conflict);
}

}  // namespace

BundleManager::BundleManager(const Clock& clock, KeyValueService& store, AuditWriter& audit)
    : m_clock(clock), m_store(store), m_audit(audit) {}

absl::StatusOr<BundleRecord> BundleManager::Submit(const std::string& text,
                                                   const OperatorId& actor) {
  TRY(ParseBundle(text, "bundle"));
  for (int tries = 0; tries < kSubmitTries; ++tries) {
    const std::vector<BundleRecord> history = TRY(History());
    BundleRecord record;
    record.version = history.empty() ? BundleVersion(1) : history.back().version.Next();
    record.digest = BundleDigest(text);
    record.text = text;
    record.submitted_by = actor;
    record.submitted_at = m_clock.WallNow();
    const std::string key = keys::BundleKey(record.version);
    Transaction transaction;
    transaction.Expect(key, Revision(0)).Put(key, EncodeBundleRecord(record));
    m_audit.Add(transaction, actor.text(), "bundle submit", key, record.digest);
    const TransactionOutcome outcome = m_store.Commit(transaction);
    if (outcome.result != TransactionResult::kConflict) {
      TRY(Resolve(outcome, "", [&] { return IsStored(m_store, record); }));
      return record;
    }
  }
  return absl::AbortedError("other operators submitted bundles at the same time; try again");
}

absl::StatusOr<BundleRecord> BundleManager::SignOff(BundleVersion version,
                                                    const std::string& digest,
                                                    const OperatorId& actor) {
  const Versioned<BundleRecord> draft = TRY(ReadVersion(m_store, version));
  if (draft.value.digest != digest) {
    return absl::AbortedError(fmt::format("the digest of version {} is {}, not {}", version.value(),
                                          draft.value.digest, digest));
  }
  TRY(CheckBundle(TRY(ParseBundle(draft.value.text, "bundle"))));
  BundleRecord record = draft.value;
  record.sign_off = SignOff::kGiven;
  record.signed_off_by = actor;
  const std::string key = keys::BundleKey(version);
  Transaction transaction;
  transaction.Expect(key, draft.modified).Put(key, EncodeBundleRecord(record));
  m_audit.Add(transaction, actor.text(), "bundle sign-off", key, digest);
  TRY(Resolve(m_store.Commit(transaction), "the draft was changed at the same time",
              [&] { return IsStored(m_store, record); }));
  return record;
}

absl::StatusOr<CurrentBundle> BundleManager::Roll(BundleVersion version, BundleVersion seen,
                                                  const OperatorId& actor) {
  const Versioned<BundleRecord> draft = TRY(ReadVersion(m_store, version));
  if (draft.value.sign_off != SignOff::kGiven) {
    return absl::FailedPreconditionError(
        fmt::format("version {} is not signed off", version.value()));
  }
  const Versioned<CurrentBundle> current = TRY(ReadCurrent(m_store));
  if (current.value.version != seen) {
    return absl::AbortedError(fmt::format("version {} is in force by now, not {}; review it first",
                                          current.value.version.value(), seen.value()));
  }
  if (version <= current.value.version) {
    return absl::FailedPreconditionError(fmt::format(
        "version {} is not above {}, which is in force; submit it again as a new version",
        version.value(), current.value.version.value()));
  }
  const CurrentBundle next{version};
  Transaction transaction;
  transaction.Expect(keys::kCurrentBundle, current.modified)
      .Expect(keys::BundleKey(version), draft.modified)
      .Put(keys::kCurrentBundle, EncodeCurrentBundle(next));
  RemoveOldVersions(transaction, version);
  m_audit.Add(transaction, actor.text(), "bundle roll", keys::BundleKey(version),
              fmt::format("after version {}", seen.value()));
  TRY(Resolve(m_store.Commit(transaction),
              "another operator rolled a bundle at the same time; review it first",
              [&] { return IsInForce(m_store, version); }));
  return next;
}

absl::StatusOr<BundleRecord> BundleManager::Read(BundleVersion version) {
  return TRY(ReadVersion(m_store, version)).value;
}

absl::StatusOr<CurrentBundle> BundleManager::Current() { return TRY(ReadCurrent(m_store)).value; }

absl::StatusOr<std::vector<BundleRecord>> BundleManager::History() {
  const RangeAnswer answer = TRY(m_store.Range(KeysWithPrefix(keys::kBundles)));
  std::vector<BundleRecord> history;
  for (const KeyValue& record : answer.records) {
    history.push_back(TRY(DecodeBundleRecord(record.value)));
  }
  return history;
}

}  // namespace papayalift
