#pragma once

#include <map>
#include <string>

namespace currantpost::bench {

/// Collects measured points and fits a straight line through each series.
class Slopes {
 public:
  /// Notes one point; a later one at the same size replaces it.
  void Add(const std::string& series, const std::string& unit, double size, double value);

  /// Prints for each series its points, the slope and the value at size 0.
  void Print(const std::string& title) const;

 private:
  struct Series {
    std::string unit;
    std::map<double, double> points;
  };

  std::map<std::string, Series> series_;
};

}  // namespace currantpost::bench
