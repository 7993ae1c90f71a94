#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// The record of a case: one line for each event that clients, workers or the platform have seen.

namespace review {

/// Returns the milliseconds of the machine's monotonic clock, which all processes share.
int64_t NowMs();

/// Appends lines to a file that several processes write to.
class Record {
 public:
  explicit Record(std::string path);

  /// Empties the file.
  void Clear() const;

  /// Appends one line: the time and the text.
  void Write(const std::string& text) const;

  [[nodiscard]] std::vector<std::string> Lines() const;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Returns the value of `name=value` in a line, empty if there is none.
std::string ValueOf(const std::string& line, const std::string& name);

/// Returns the time at which a line was written.
int64_t TimeOf(const std::string& line);

}  // namespace review
