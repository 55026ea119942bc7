#include "libraries/settings/config_document.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <set>
#include <string_view>
#include <utility>

#include "libraries/base/duration_text.h"
#include "libraries/settings/ip_address.h"

namespace papayalift {

struct ConfigDocument::Content {
  std::string file;
  toml::table root;
  std::vector<std::string> problems;
};

struct ConfigSection::Table {
  /// Null if the table is missing.
  const toml::table* table = nullptr;
  /// "workspace.guarantee." or empty.
  std::string prefix;
  std::set<std::string> read;

  const toml::node* Find(const std::string& key) {
    read.insert(key);
    return table == nullptr ? nullptr : table->get(key);
  }
};

ConfigDocument::ConfigDocument(std::shared_ptr<Content> content) : m_content(std::move(content)) {}

absl::StatusOr<ConfigDocument> ConfigDocument::Parse(const std::string& text,
                                                     const std::string& file) {
  std::shared_ptr<Content> content = std::make_shared<Content>();
  content->file = file;
  try {
    content->root = toml::parse(text, std::string_view(file));
  } catch (const toml::parse_error& error) {
    return absl::InvalidArgumentError(fmt::format("{}:{}: {}", file, error.source().begin.line,
                                                  std::string(error.description())));
  }
  return ConfigDocument(std::move(content));
}

ConfigSection ConfigDocument::root() const {
  std::shared_ptr<ConfigSection::Table> table = std::make_shared<ConfigSection::Table>();
  table->table = &m_content->root;
  return ConfigSection(m_content, std::move(table));
}

absl::Status ConfigDocument::status() const {
  if (m_content->problems.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(fmt::format("{}", fmt::join(m_content->problems, "\n")));
}

ConfigSection::ConfigSection(std::shared_ptr<ConfigDocument::Content> content,
                             std::shared_ptr<Table> table)
    : m_content(std::move(content)), m_table(std::move(table)) {}

std::string ConfigSection::Text(const std::string& key, const std::string& fallback) {
  const toml::node* const node = m_table->Find(key);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_string()) {
    Report(key, "must be a string in quotes");
    return fallback;
  }
  return node->as_string()->get();
}

std::string ConfigSection::RequiredText(const std::string& key) {
  std::string text = Text(key, "");
  if (text.empty()) {
    Report(key, "is missing; it must be a string that is not empty");
  }
  return text;
}

std::int64_t ConfigSection::Number(const std::string& key, std::int64_t fallback, std::int64_t min,
                                   std::int64_t max) {
  const toml::node* const node = m_table->Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const std::int64_t value = node->is_integer() ? node->as_integer()->get() : min - 1;
  if (!node->is_integer() || value < min || value > max) {
    Report(key, fmt::format("must be a whole number from {} to {}", min, max));
    return fallback;
  }
  return value;
}

std::int64_t ConfigSection::RequiredNumber(const std::string& key, std::int64_t min,
                                           std::int64_t max) {
  if (!Has(key)) {
    Report(key, fmt::format("is missing; it must be a whole number from {} to {}", min, max));
  }
  return Number(key, min, min, max);
}

double ConfigSection::RealNumber(const std::string& key, double fallback, double min, double max) {
  const toml::node* const node = m_table->Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const std::optional<double> value = node->value<double>();
  if (!value || *value < min || *value > max) {
    Report(key, fmt::format("must be a number from {} to {}", min, max));
    return fallback;
  }
  return *value;
}

bool ConfigSection::Flag(const std::string& key, bool fallback) {
  const toml::node* const node = m_table->Find(key);
  if (node == nullptr) {
    return fallback;
  }
  if (!node->is_boolean()) {
    Report(key, "must be true or false");
    return fallback;
  }
  return node->as_boolean()->get();
}

Milliseconds ConfigSection::Duration(const std::string& key, Milliseconds fallback,
                                     Milliseconds min, Milliseconds max) {
  if (m_table->Find(key) == nullptr) {
    return fallback;
  }
  const std::string range =
      fmt::format("must be a duration from \"{}\" to \"{}\"", DurationText(min), DurationText(max));
  if (!m_table->Find(key)->is_string()) {
    Report(key, range + ", in quotes and with its unit");
    return fallback;
  }
  const absl::StatusOr<Milliseconds> duration = ParseDuration(Text(key, ""));
  if (!duration.ok()) {
    Report(key, std::string(duration.status().message()));
    return fallback;
  }
  if (*duration < min || *duration > max) {
    Report(key, range);
    return fallback;
  }
  return *duration;
}

std::string ConfigSection::RequiredAddress(const std::string& key) {
  if (!Has(key)) {
    Report(key, "is missing; write an IPv4 address and a port, \"127.0.0.1:8080\"");
  }
  return Address(key, "");
}

std::string ConfigSection::Address(const std::string& key, const std::string& fallback) {
  if (m_table->Find(key) == nullptr) {
    return fallback;
  }
  std::string text = Text(key, fallback);
  const absl::StatusOr<IpAddress> address = ParseIpAddress(text);
  if (!address.ok()) {
    Report(key, std::string(address.status().message()));
  }
  return text;
}

std::vector<std::string> ConfigSection::Texts(const std::string& key) {
  const toml::node* const node = m_table->Find(key);
  std::vector<std::string> texts;
  if (node == nullptr) {
    return texts;
  }
  if (!node->is_array()) {
    Report(key, "must be a list of strings");
    return texts;
  }
  for (const toml::node& item : *node->as_array()) {
    if (item.is_string()) {
      texts.push_back(item.as_string()->get());
    } else {
      Report(key, "must be a list of strings");
    }
  }
  return texts;
}

ConfigSection ConfigSection::Section(const std::string& key) {
  const toml::node* const node = m_table->Find(key);
  std::shared_ptr<Table> table = std::make_shared<Table>();
  table->prefix = m_table->prefix + key + ".";
  if (node != nullptr && !node->is_table()) {
    Report(key, fmt::format("must be a table, [{}]", key));
  }
  table->table = node == nullptr ? nullptr : node->as_table();
  return ConfigSection(m_content, std::move(table));
}

std::vector<ConfigSection> ConfigSection::Sections(const std::string& key) {
  const toml::node* const node = m_table->Find(key);
  std::vector<ConfigSection> sections;
  if (node == nullptr) {
    return sections;
  }
  if (!node->is_array_of_tables()) {
    Report(key, fmt::format("must be tables, each under [[{}]]", key));
    return sections;
  }
  for (const toml::node& item : *node->as_array()) {
    std::shared_ptr<Table> table = std::make_shared<Table>();
    table->prefix = m_table->prefix + key + ".";
    table->table = item.as_table();
    sections.push_back(ConfigSection(m_content, std::move(table)));
  }
  return sections;
}

bool ConfigSection::Has(const std::string& key) const { return m_table->Find(key) != nullptr; }

void ConfigSection::Report(const std::string& key, const std::string& message) {
  const toml::node* const node = m_table->Find(key);
  unsigned int line = 1;
  if (node != nullptr) {
    line = node->source().begin.line;
  } else if (m_table->table != nullptr && m_table->table->source().begin.line > 0) {
    line = m_table->table->source().begin.line;
  }
  m_content->problems.push_back(
      fmt::format("{}:{}: {}{}: {}", m_content->file, line, m_table->prefix, key, message));
}

void ConfigSection::ReportUnknownKeys() {
  if (m_table->table == nullptr) {
    return;
  }
  std::vector<std::string> unknown;
  for (auto entry = m_table->table->begin(); entry != m_table->table->end(); ++entry) {
    const std::string key(entry->first.str());
    if (!m_table->read.contains(key)) {
      unknown.push_back(key);
    }
  }
  const std::string known = fmt::format("{}", fmt::join(m_table->read, ", "));
  for (const std::string& key : unknown) {
    Report(key, "is unknown here; known are " + known);
  }
}

}  // namespace papayalift
