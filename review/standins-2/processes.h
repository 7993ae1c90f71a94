#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

/// Child processes of a case.

namespace review {

/// A child process. It is killed and waited for when this object ends.
class Child {
 public:
  /// Starts a program with the given environment variables and no others. Its output goes to a
  /// file. Throws `std::runtime_error` if it cannot be started.
  Child(const std::vector<std::string>& command, const std::vector<std::string>& environment,
        const std::string& output);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Signal(int signal) const;

  /// Kills the process and waits for its end.
  void Kill();

  /// Returns whether the process still runs.
  bool IsRunning();

 private:
  pid_t pid_ = -1;
  bool over_ = false;
};

/// Returns this many ports on which nothing listens at any of the loopback addresses in use.
std::vector<int> FreePorts(int count);

/// Returns a new folder for temporary files. `RemoveFolder` removes it with all that it holds.
std::string MakeFolder();
void RemoveFolder(const std::string& path);

}  // namespace review
