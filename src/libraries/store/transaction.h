/// A compare-and-swap over several keys.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "libraries/base/units.h"

namespace papayalift {

/// Identifies a lease of the store; 0 means none.
using StoreLease = StrongNumber<struct StoreLeaseTag>;

/// True if the latest write of `key` has exactly this revision; 0 for a key that must not exist.
struct Comparison {
  std::string key;
  Revision modified;
};

enum class WriteKind { kPut, kDelete };

struct Write {
  WriteKind kind = WriteKind::kPut;
  std::string key;
  std::string value;
  /// The store deletes the key when this lease ends; 0 for none.
  StoreLease lease;
};

/// Applies all writes if every comparison holds, else none.
class Transaction {
 public:
  Transaction& Expect(std::string key, Revision modified) {
    m_comparisons.push_back(Comparison{std::move(key), modified});
    return *this;
  }
  Transaction& Put(std::string key, std::string value) {
    m_writes.push_back(Write{WriteKind::kPut, std::move(key), std::move(value), {}});
    return *this;
  }
  Transaction& PutUnderLease(std::string key, std::string value, StoreLease lease) {
    m_writes.push_back(Write{WriteKind::kPut, std::move(key), std::move(value), lease});
    return *this;
  }
  Transaction& Delete(std::string key) {
    m_writes.push_back(Write{WriteKind::kDelete, std::move(key), "", {}});
    return *this;
  }

  const std::vector<Comparison>& comparisons() const { return m_comparisons; }
  const std::vector<Write>& writes() const { return m_writes; }

 private:
  std::vector<Comparison> m_comparisons;
  std::vector<Write> m_writes;
};

enum class TransactionResult {
  kApplied,
  /// A comparison did not hold; nothing was written.
  kConflict,
  /// The service did not execute the request; nothing was written.
  kNotSent,
  /// No definite answer: the writes may have been applied. Read the keys before continuing.
  kUnclear,
};

struct TransactionOutcome {
  TransactionResult result = TransactionResult::kNotSent;
  /// Revision of the service after the transaction; set only if it answered.
  Revision revision;
  std::string error;
};

}  // namespace papayalift
