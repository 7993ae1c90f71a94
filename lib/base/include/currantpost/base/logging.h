#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/enum_names.h"

namespace currantpost {

/// Severity of a log line.
enum class Severity { kInfo, kWarning, kError };

inline constexpr EnumNames kSeverityNames(std::to_array<EnumName<Severity>>({
    {Severity::kInfo, "info"},
    {Severity::kWarning, "warning"},
    {Severity::kError, "error"},
}));

/// One field of a log line.
struct LogField {
  std::string name;
  std::string value;
};

/// Sends all log lines of at least `min_severity` to standard output, without ever blocking on its
/// reader. Call once, before the first line is written. Lines written earlier go to standard error.
void SetUpLogging(Severity min_severity);

/// Writes one line: time, severity, "[component]", a short message, and the fields as name=value.
/// Thread-safe.
void WriteLog(Severity severity, std::string_view component, std::string_view message,
              const std::vector<LogField>& fields = {});

/// Returns the number of lines dropped so far because the reader of standard output was too slow, 0
/// before `SetUpLogging`.
uint64_t DroppedLogLines();

}  // namespace currantpost
