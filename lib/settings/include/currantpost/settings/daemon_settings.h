#pragma once

#include <string>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/control/control_settings.h"
#include "currantpost/model/traffic_settings.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// Addresses, time limits and thread counts for calls to the platform and the workers.
struct PlatformSettings {
  /// Address of the key-value service.
  Address kv;
  /// Address of the list of VMs.
  Address vm_list;
  /// Timeout of one call. A watch waits up to `watch_timeout` in addition.
  Millis call_timeout = Millis(2'000);
  /// Maximum time that a watch waits for a change.
  Millis watch_timeout = Millis(10'000);
  /// How often the list of VMs is read.
  Millis vm_list_interval = Millis(1'000);
  /// Timeout of one order to a worker.
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
  /// Line number, from 1; 0 if no single line is at fault, such as for a missing key.
  int32_t line = 0;
  /// Section and key, as "section.key".
  std::string key;
  /// The allowed values or syntax.
  std::string allowed;
};

/// Reads and checks a settings file. Returns the settings, or all faults found in the file.
tl::expected<DaemonSettings, std::vector<SettingsFault>> LoadDaemonSettings(
    const std::string& path);

/// Formats a fault as one line: file, line, key, error code and allowed values.
std::string FaultText(const SettingsFault& fault);

}  // namespace currantpost
