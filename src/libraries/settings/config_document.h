/// Validating reader of TOML documents; collects every problem with its line and key.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "libraries/base/units.h"

namespace papayalift {

class ConfigSection;

class ConfigDocument {
 public:
  /// kInvalidArgument if `text` is not valid TOML. `file` is used in messages only.
  static absl::StatusOr<ConfigDocument> Parse(const std::string& text, const std::string& file);

  ConfigSection root() const;

  /// kInvalidArgument with every problem reported so far, one per line.
  absl::Status status() const;

 private:
  friend class ConfigSection;
  struct Content;
  explicit ConfigDocument(std::shared_ptr<Content> content);
  std::shared_ptr<Content> m_content;
};

/// One table of a document. Each getter checks the value under its key and reports problems.
class ConfigSection {
 public:
  std::string Text(const std::string& key, const std::string& fallback);
  std::string RequiredText(const std::string& key);
  std::int64_t Number(const std::string& key, std::int64_t fallback, std::int64_t min,
                      std::int64_t max);
  std::int64_t RequiredNumber(const std::string& key, std::int64_t min, std::int64_t max);
  double RealNumber(const std::string& key, double fallback, double min, double max);
  bool Flag(const std::string& key, bool fallback);
  /// A duration with its unit, such as "1.5s".
  Milliseconds Duration(const std::string& key, Milliseconds fallback, Milliseconds min,
                        Milliseconds max);
  /// "IP:port"
  std::string RequiredAddress(const std::string& key);
  std::string Address(const std::string& key, const std::string& fallback);
  std::vector<std::string> Texts(const std::string& key);

  /// The table under `key`; an empty one if it is missing.
  ConfigSection Section(const std::string& key);
  /// The tables of the array under `key`.
  std::vector<ConfigSection> Sections(const std::string& key);

  bool Has(const std::string& key) const;

  /// Reports a problem with the value under `key`.
  void Report(const std::string& key, const std::string& message);
  /// Reports every key that was never read.
  void ReportUnknownKeys();

 private:
  friend class ConfigDocument;
  struct Table;
  ConfigSection(std::shared_ptr<ConfigDocument::Content> content, std::shared_ptr<Table> table);

  std::shared_ptr<ConfigDocument::Content> m_content;
  std::shared_ptr<Table> m_table;
};

}  // namespace papayalift
