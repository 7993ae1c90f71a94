#include "currantpost/tool/exit_code.h"

#include <array>

namespace currantpost {
namespace {

/// One row of the table of failures.
struct FailureRow {
  ErrorCode code;
  ExitCode exit_code;
  const char* advice;
};

constexpr auto kRows = std::to_array<FailureRow>({
    {ErrorCode::kInvalidArgument, ExitCode::kBadInput, "correct the named value"},
    {ErrorCode::kMalformed, ExitCode::kBadInput, "correct the file; it must be JSON of this form"},
    {ErrorCode::kUnreadable, ExitCode::kBadInput, "name a file that can be read"},
    {ErrorCode::kOutOfRange, ExitCode::kBadInput, "give a value within the range"},
    {ErrorCode::kTooLarge, ExitCode::kBadInput, "make it smaller"},
    {ErrorCode::kConflict, ExitCode::kRefused,
     "another operator was first; look at the present revision and decide again"},
    {ErrorCode::kNotFound, ExitCode::kRefused, "list what there is, and check the name"},
    {ErrorCode::kAlreadyExists, ExitCode::kRefused,
     "a different job has this name; choose another name"},
    {ErrorCode::kNeverFits, ExitCode::kRefused, "ask for less; no VM or quota holds this"},
    {ErrorCode::kQuotaExceeded, ExitCode::kRefused, "wait for the team's work or raise its quota"},
    {ErrorCode::kUnavailable, ExitCode::kUnavailable,
     "nothing was changed; try again, or through another entry"},
    {ErrorCode::kTimeout, ExitCode::kUnavailable, "try again, or through another entry"},
    {ErrorCode::kOutcomeUnknown, ExitCode::kUnknown,
     "run the same command again; it takes effect once"},
});

const FailureRow* Find(const Error& error) {
  for (const FailureRow& row : kRows) {
    if (error.code == row.code) return &row;
  }

  return nullptr;
}

}  // namespace

ExitCode ExitCodeOf(const Error& error) {
  const FailureRow* row = Find(error);
  return row == nullptr ? ExitCode::kRefused : row->exit_code;
}

const char* AdviceFor(const Error& error) {
  const FailureRow* row = Find(error);
  return row == nullptr ? "see the entry's log" : row->advice;
}

}  // namespace currantpost
