#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "currantpost/base/time.h"

namespace currantpost::testing_support {

/// A child process of a test. It is killed and waited for when this object ends.
class Process {
 public:
  /// Starts a program; the first text is its path. Throws `std::system_error` if it cannot be.
  explicit Process(const std::vector<std::string>& command);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return pid_; }

  /// Sends a signal, such as SIGKILL, SIGTERM, SIGSTOP or SIGCONT.
  void Signal(int signal) const;

  /// Waits until the process ends. Returns its exit code, the negative number of the signal that
  /// ended it, or nothing if it goes on past the deadline.
  std::optional<int> WaitForExit(Millis deadline);

  /// Returns all that the process has written to standard output and standard error.
  std::string Output() const;

 private:
  pid_t pid_ = -1;
  /// A file without a name, so nothing is left behind.
  int output_ = -1;
  std::optional<int> exit_;
};

/// Returns so many TCP ports of the loopback address that nothing listens on. They lie outside the
/// range that the system draws ports for connections from, so nobody else gets them by chance.
std::vector<int> FreePorts(int count);

/// Returns a new folder for files of this test, in the system's place for such files.
std::string MakeTemporaryFolder();

}  // namespace currantpost::testing_support
