#include "slopes.h"

#include <cstdio>

namespace currantpost::bench {
namespace {

struct Line {
  double slope = 0.0;
  double base = 0.0;
};

/// Fits a line by least squares.
Line Fit(const std::map<double, double>& points) {
  double size_sum = 0.0;
  double value_sum = 0.0;
  double square_sum = 0.0;
  double product_sum = 0.0;

  for (const auto& [size, value] : points) {
    size_sum += size;
    value_sum += value;
    square_sum += size * size;
    product_sum += size * value;
  }

  const auto count = static_cast<double>(points.size());
  const double spread = count * square_sum - size_sum * size_sum;
  if (spread <= 0.0) return Line{0.0, points.empty() ? 0.0 : value_sum / count};

  const double slope = (count * product_sum - size_sum * value_sum) / spread;
  return Line{slope, (value_sum - slope * size_sum) / count};
}

}  // namespace

void Slopes::Add(const std::string& series, const std::string& unit, double size, double value) {
  series_[series].unit = unit;
  series_[series].points[size] = value;
}

void Slopes::Print(const std::string& title) const {
  std::printf("\n%s\n%-74s %14s %14s  %-10s %s\n", title.c_str(), "what, by size", "slope", "at 0",
              "unit", "points");

  for (const auto& [name, series] : series_) {
    const Line line = Fit(series.points);
    std::printf("%-74s %14.4f %14.2f  %-10s", name.c_str(), line.slope, line.base,
                series.unit.c_str());

    for (const auto& [size, value] : series.points) std::printf(" %g:%.1f", size, value);
    std::printf("\n");
  }
}

}  // namespace currantpost::bench
