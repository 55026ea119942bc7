#include "libraries/node/status_page.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace papayalift {

namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

Test(status_page, untrusted_text_is_escaped_everywhere) {
  const std::string hostile = "<script>\"'&";
  StatusPageContent content;
  content.node = NodeId(hostile);
  content.summary.zones = {ZoneSummary{ZoneId(hostile), ZoneState::kIn, {}, {}}};
  content.summary.workspaces = {WorkspaceSummary{WorkspaceId(hostile), {}, {}, {}, {}, {}, 0}};
  content.summary.racks = {
      RackSummary{RackId(hostile),
                  ZoneId(hostile),
                  {WorkerSummary{WorkerId(hostile), AcceleratorSet(1), AcceleratorSet(1)}}}};
  QueuedJob queued;
  queued.job.spec.key = CallerKey(hostile);
  queued.job.spec.workspace = WorkspaceId(hostile);
  queued.reason = hostile;
  content.queue = {queued};
  content.audit = {AuditEntry{Milliseconds(0), NodeId(), hostile, hostile, hostile, hostile}};
  const std::string page = RenderStatusPage(content);
  cr_assert_not(Contains(page, "<script>"));
  cr_assert(Contains(page, "&lt;script&gt;&quot;&#39;&amp;"));
}

Test(status_page, escaped_text_holds_no_markup) {
  cr_assert(rc::check("no markup", [](const std::string& text) {
    const std::string escaped = EscapeHtml(text);
    RC_ASSERT(escaped.find_first_of("<>\"'") == std::string::npos);
  }));
}

Test(status_page, rack_map_shows_held_accelerators) {
  StatusPageContent content;
  content.summary.racks = {
      RackSummary{RackId("r"),
                  ZoneId("a"),
                  {WorkerSummary{WorkerId("w"), AcceleratorSet(0b11), AcceleratorSet(0b10)}}}};
  const std::string page = RenderStatusPage(content);
  cr_assert(Contains(page, "<span class=\"cell held\"></span><span class=\"cell\"></span>"));
}

}  // namespace papayalift
