#include "libraries/lab/comparison_plot.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace papayalift {

namespace {

/// Lengths are in SVG user units.
constexpr double kPanelWidth = 300.0;
constexpr double kPanelHeight = 200.0;
constexpr double kMargin = 30.0;
constexpr double kTitleHeight = 40.0;
constexpr double kBarShare = 0.6;
constexpr double kTextGap = 4.0;
constexpr int kColumns = 3;
constexpr std::array<std::string_view, 6> kColours = {"#4477aa", "#ee6677", "#228833",
                                                      "#ccbb44", "#66ccee", "#aa3377"};

std::string TextAt(double x, double y, const std::string& text) {
  return fmt::format(R"(<text x="{:.1f}" y="{:.1f}" text-anchor="middle">{}</text>)", x, y, text);
}

double RowOf(std::size_t index) {
  const std::size_t row = index / kColumns;
  return static_cast<double>(row);
}

class Panel {
 public:
  Panel(const MetricComparison& metric, std::size_t index)
      : m_metric(metric),
        m_left(static_cast<double>(index % kColumns) * kPanelWidth),
        m_top(kTitleHeight + RowOf(index) * kPanelHeight) {
    for (const PolicyEstimate& policy : metric.policies) {
      m_max_value = std::max(m_max_value, policy.value.mean + policy.value.half_width);
    }
  }

  std::string Draw() const {
    std::string svg = TextAt(m_left + kPanelWidth / 2, m_top + kMargin / 2, m_metric.metric) + "\n";
    for (std::size_t index = 0; index < m_metric.policies.size(); ++index) {
      svg += DrawBar(index) + "\n";
    }
    return svg;
  }

 private:
  std::string DrawBar(std::size_t index) const {
    const PolicyEstimate& policy = m_metric.policies[index];
    const double step = (kPanelWidth - 2 * kMargin) / static_cast<double>(m_metric.policies.size());
    const double middle = m_left + kMargin + (static_cast<double>(index) + 0.5) * step;
    const double width = step * kBarShare;
    const double top = HeightOf(policy.value.mean);
    const double floor = HeightOf(0.0);
    return fmt::format(
        R"(<rect x="{:.1f}" y="{:.1f}" width="{:.1f}" height="{:.1f}" fill="{}"/>)"
        R"(<line x1="{:.1f}" x2="{:.1f}" y1="{:.1f}" y2="{:.1f}" stroke="black"/>{}{})",
        middle - width / 2, top, width, floor - top, kColours[index % kColours.size()], middle,
        middle, HeightOf(policy.value.mean + policy.value.half_width),
        HeightOf(std::max(0.0, policy.value.mean - policy.value.half_width)),
        TextAt(middle, floor + kMargin / 2, policy.policy),
        TextAt(middle, top - kTextGap, fmt::format("{:.3g}", policy.value.mean)));
  }

  double HeightOf(double value) const {
    const double room = kPanelHeight - 3 * kMargin;
    const double share = m_max_value > 0.0 ? std::max(0.0, value) / m_max_value : 0.0;
    return m_top + kPanelHeight - kMargin - share * room;
  }

  const MetricComparison& m_metric;
  double m_left;
  double m_top;
  double m_max_value = 0.0;
};

}  // namespace

std::string PlotComparison(const Comparison& comparison) {
  const std::size_t rows = (comparison.metrics.size() + kColumns - 1) / kColumns;
  const double width = kPanelWidth * kColumns;
  std::string svg = fmt::format(
      R"(<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {0} {1}" width="{0}" height="{1}" )"
      R"(font-family="sans-serif" font-size="10"><rect width="100%" height="100%" fill="white"/>)"
      "\n{2}\n",
      width, kTitleHeight + static_cast<double>(rows) * kPanelHeight,
      TextAt(width / 2, kTitleHeight / 2,
             fmt::format("{}, {} seeds, 95% confidence intervals", comparison.scenario,
                         comparison.seeds)));
  for (std::size_t index = 0; index < comparison.metrics.size(); ++index) {
    svg += Panel(comparison.metrics[index], index).Draw();
  }
  return svg + "</svg>\n";
}

}  // namespace papayalift
