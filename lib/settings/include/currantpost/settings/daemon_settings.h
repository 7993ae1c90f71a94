#pragma once

#include <string>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/control/control_settings.h"
#include "currantpost/model/traffic_settings.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// How the platform is reached.
struct PlatformSettings {
  /// The key-value service.
  Address kv;
  /// The list of VMs.
  Address vm_list;
  /// Longest time for one call, other than a watch.
  Millis call_timeout = Millis(2'000);
  /// Longest time that a watch waits for a change.
  Millis watch_timeout = Millis(10'000);
  /// How often the list of VMs is read.
  Millis vm_list_interval = Millis(1'000);
  /// Longest time for one order to a worker.
  Millis worker_timeout = Millis(1'000);
  /// Threads that call the key-value service.
  int32_t kv_threads = 8;
  /// Threads that send orders to workers.
  int32_t worker_threads = 16;
};

/// All settings of the daemon.
struct DaemonSettings {
  ControlSettings control;
  TrafficSettings traffic;
  PlatformSettings platform;
};

/// One fault in a settings file.
struct SettingsFault {
  Error error;
  std::string file;
  /// Line of the fault, from 1; 0 if a key is missing altogether.
  int32_t line = 0;
  /// Section and key, as "section.key".
  std::string key;
  /// What is allowed there.
  std::string allowed;
};

/// Reads and checks a settings file. Returns the settings, or every fault found in it.
tl::expected<DaemonSettings, std::vector<SettingsFault>> LoadDaemonSettings(
    const std::string& path);

/// Writes a fault as one line: file, line, key, type of fault and what is allowed.
std::string FaultText(const SettingsFault& fault);

}  // namespace currantpost
