#pragma once

#include <memory>
#include <optional>
#include <string>

#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "process.h"

namespace currantpost::soak {

/// Where an entry runs and what it reaches.
struct EntryProfile {
  std::string name;
  std::string host;
  std::string zone;
  /// The store, as this entry reaches it.
  Address store;
  std::string log_folder;
};

/// The command line option with which this program becomes an entry: settings file and log follow.
inline constexpr const char* kRunEntryOption = "--run-entry";
/// The command line option with which this program only takes processor time.
inline constexpr const char* kBusyLoopOption = "--busy-loop";

/// Does what the two options above ask for. Returns nothing if the command line has neither.
std::optional<int> RunAsChild(int argc, char** argv);

/// Starts this program as a busy loop.
std::unique_ptr<testing_support::Process> StartBusyLoop();

/// One machine of entries: at most one process at a time.
class EntryProcess {
 public:
  explicit EntryProcess(EntryProfile profile);

  void Start();
  void Pause() const;
  void Continue() const;
  void Kill();
  /// Sends SIGTERM; after the grace period `Tick` sends SIGKILL.
  void Terminate(Millis now);

  /// Notices the end of the process. Returns its exit code if it has ended without being asked, or
  /// has crashed on its way out.
  std::optional<int> Tick(Millis now);

  [[nodiscard]] bool Running() const { return process_ != nullptr; }
  [[nodiscard]] const EntryProfile& profile() const { return profile_; }
  [[nodiscard]] std::string LogPath() const;
  [[nodiscard]] Address Callers() const;
  [[nodiscard]] Address Readiness() const;

 private:
  EntryProfile profile_;
  std::string settings_path_;
  std::unique_ptr<testing_support::Process> process_;
  std::optional<Millis> kill_at_;
};

}  // namespace currantpost::soak
