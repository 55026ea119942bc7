#include <criterion/criterion.h>
#include <criterion/redirect.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

#include "services/commands.h"

namespace papayalift {

namespace {

const std::string kFolder = EXAMPLES_FOLDER;
const std::string kGood = kFolder + "/manifest.json";
const std::string kInForce = kFolder + "/manifest-in-force.json";
const std::string kContradictory = kFolder + "/contradictory.json";

/// Runs `papayalift config check` with the arguments, and returns its exit code.
ExitCode RunCheck(const std::string& arguments, OutputFormat format = OutputFormat::kText) {
  CLI::App app("papayalift");
  CommandContext context;
  context.format = format;
  AddConfigCommands(app, context);
  app.parse("config check " + arguments);
  std::fflush(stdout);
  std::fflush(stderr);
  return context.exit_code;
}

void Redirect() {
  cr_redirect_stdout();
  cr_redirect_stderr();
}

}  // namespace

Test(config_command, consistent_file_is_ok, .init = Redirect) {
  cr_assert(RunCheck(kGood + " --accelerators 96") == ExitCode::kOk);
  cr_assert_stdout_eq_str((kGood + ": ok, version 8, 0 errors, 0 warnings\n").c_str());
}

Test(config_command, differences_from_the_version_in_force_are_printed_by_name, .init = Redirect) {
  cr_assert(RunCheck(kGood + " --against " + kInForce) == ExitCode::kOk);
  const std::string expected =
      "added queue 'images'\n"
      "changed queue 'orders-urgent': attempts 2 -> 3, latency target in ms 300 -> 250\n"
      "removed queue 'reports'\n"
      "added service 'images'\n"
      "removed service 'reports'\n"
      "changed workspace 'bakeries': quota of accelerators 0 -> 128, keys 1 -> 2 (1 added, 0 "
      "removed)\n" +
      kGood + ": ok, version 8, 0 errors, 0 warnings\n";
  cr_assert_stdout_eq_str(expected.c_str());
}

Test(config_command, contradictory_file_is_a_usage_error, .init = Redirect) {
  cr_assert(RunCheck(kContradictory + " --accelerators 63") == ExitCode::kUsage);
  const std::string expected =
      "error: routes[0].maxAttempts: 0 is not allowed; 1 takes effect\n"
      "error: queue 'orders-new': never matches: the earlier queue 'orders' has the same host and "
      "path prefix\n"
      "warning: queue 'orders-new': service 'order' is not among the listed services\n"
      "warning: workspace 'schools': has no keys: no call is ever its own\n"
      "error: workspace 'clinics': shares a key with the earlier workspace 'bakeries', to which "
      "such calls are assigned\n"
      "error: workspace 'bakeries': 64 accelerators are guaranteed, but its quota is 32\n"
      "error: workspaces: 64 accelerators are guaranteed together, but the capacity is 63\n" +
      kContradictory + ": 5 errors, 2 warnings\n";
  cr_assert_stderr_eq_str(expected.c_str());
}

Test(config_command, machine_readable_report_has_findings_and_differences, .init = Redirect) {
  cr_assert(RunCheck(kInForce + " --against " + kInForce, OutputFormat::kJson) == ExitCode::kUsage);
  const std::string expected =
      R"({"differences":[],"file":")" + kInForce +
      R"(","findings":[{"entry":"version","message":"7 is not above 7, the version in force",)"
      R"("severity":"error"}],"ok":false,"version":7})"
      "\n";
  cr_assert_stdout_eq_str(expected.c_str());
}

// A file with faults in its syntax has no version, and a report without one must not be "ok".
Test(config_command, file_that_is_not_json_is_reported_with_its_place, .init = Redirect) {
  const std::string file = kFolder + "/../workspaces.toml";
  cr_assert(RunCheck(file) == ExitCode::kUsage);
  const std::string expected = "error: line 1, column 3: the text is not JSON from here on\n" +
                               file + ": 1 error, 0 warnings\n";
  cr_assert_stderr_eq_str(expected.c_str());
}

Test(config_command, file_that_is_missing_or_no_manifest_is_a_usage_error, .init = Redirect) {
  cr_expect(RunCheck(kFolder + "/none.json") == ExitCode::kUsage);
  cr_expect(RunCheck(kGood + " --against " + kFolder + "/none.json") == ExitCode::kUsage);
  cr_expect(RunCheck(EXAMPLES_FOLDER "/../workspaces.toml") == ExitCode::kUsage);
  cr_expect(RunCheck(kGood + " --against " EXAMPLES_FOLDER "/../workspaces.toml") ==
            ExitCode::kUsage);
}

}  // namespace papayalift
