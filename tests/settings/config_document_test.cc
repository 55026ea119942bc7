#include "libraries/settings/config_document.h"

#include <criterion/criterion.h>

#include <string>

namespace papayalift {

namespace {

/// Parses a document with one known number, "count", and joins all problems into one text.
struct NumberFixture {
  explicit NumberFixture(const std::string& text) {
    absl::StatusOr<ConfigDocument> document = ConfigDocument::Parse(text, "file.toml");
    if (!document.ok()) {
      problems = std::string(document.status().message());
      return;
    }
    ConfigSection root = document->root();
    value = root.Number("count", 7, 1, 10);
    root.ReportUnknownKeys();
    problems = std::string(document->status().message());
  }

  bool Reports(const std::string& part) const { return problems.find(part) != std::string::npos; }

  std::int64_t value = 0;
  std::string problems;
};

}  // namespace

Test(config_document, number_in_range_is_read) {
  const NumberFixture fixture("count = 3\n");
  cr_assert(fixture.value == 3);
  cr_assert(fixture.problems.empty());
}

Test(config_document, missing_number_gives_its_default) {
  const NumberFixture fixture("");
  cr_assert(fixture.value == 7);
  cr_assert(fixture.problems.empty());
}

Test(config_document, number_out_of_range_is_reported_with_line_and_key) {
  const NumberFixture fixture("# first line\ncount = 11\n");
  cr_assert(fixture.Reports("file.toml:2: count: must be a whole number from 1 to 10"));
}

Test(config_document, several_problems_are_all_reported) {
  const NumberFixture fixture("count = \"x\"\nunknown = 1\nother = 2\n");
  cr_assert(fixture.Reports("file.toml:1: count"));
  cr_assert(fixture.Reports("file.toml:2: unknown: is unknown here"));
  cr_assert(fixture.Reports("file.toml:3: other: is unknown here"));
}

Test(config_document, malformed_toml_is_reported_with_its_line) {
  const NumberFixture fixture("count = 1\ncount 2\n");
  cr_assert(fixture.Reports("file.toml:2:"));
}

}  // namespace papayalift
