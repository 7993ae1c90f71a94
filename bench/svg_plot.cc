#include "svg_plot.h"

#include <algorithm>
#include <cstdio>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace currantpost::bench {
namespace {

constexpr int kWidth = 760;
constexpr int kNameWidth = 190;
constexpr int kBarHeight = 16;
constexpr int kRowHeight = 22;
constexpr int kTitleHeight = 30;
constexpr int kValueWidth = 90;

std::string Text(int x, int y, const std::string& text, const char* style) {
  return absl::StrFormat("<text x=\"%d\" y=\"%d\" %s>%s</text>\n", x, y, style, text);
}

std::string Bar(const PlotBar& bar, int y, double scale) {
  const double middle = y + kBarHeight / 2.0;

  return absl::StrCat(
      Text(8, y + kBarHeight - 3, bar.name, ""),
      absl::StrFormat("<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#6b8fb3\"/>\n",
                      kNameWidth, y, bar.median * scale, kBarHeight),
      absl::StrFormat("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"#222\"/>\n",
                      kNameWidth + bar.low * scale, middle, kNameWidth + bar.high * scale, middle),
      Text(kWidth - kValueWidth + 10, y + kBarHeight - 3, absl::StrFormat("%.3g", bar.median), ""));
}

}  // namespace

std::string DrawBars(const std::string& title, const std::vector<PlotPanel>& panels) {
  std::string body = Text(8, 20, title, "font-weight=\"bold\"");
  int y = kTitleHeight;

  for (const PlotPanel& panel : panels) {
    double largest = 1e-9;
    for (const PlotBar& bar : panel.bars) largest = std::max({largest, bar.median, bar.high});

    body += Text(8, y + 18, panel.title, "font-style=\"italic\"");
    y += kTitleHeight;

    for (const PlotBar& bar : panel.bars) {
      body += Bar(bar, y, (kWidth - kNameWidth - kValueWidth) / largest);
      y += kRowHeight;
    }
  }

  return absl::StrFormat(
             "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
             "font-family=\"sans-serif\" font-size=\"12\">\n"
             "<rect width=\"100%%\" height=\"100%%\" fill=\"#fff\"/>\n",
             kWidth, y + 10) +
         body + "</svg>\n";
}

}  // namespace currantpost::bench
