#pragma once

#include <string>
#include <vector>

namespace currantpost::bench {

/// One bar: a median with its quartiles.
struct PlotBar {
  std::string name;
  double low = 0.0;
  double median = 0.0;
  double high = 0.0;
};

/// One group of bars with its own scale.
struct PlotPanel {
  std::string title;
  std::vector<PlotBar> bars;
};

/// Returns an SVG picture with the panels one below the other.
std::string DrawBars(const std::string& title, const std::vector<PlotPanel>& panels);

}  // namespace currantpost::bench
