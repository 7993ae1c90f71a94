#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "currantpost/base/error.h"
#include "currantpost/settings/daemon_settings.h"

namespace currantpost {

/// One key of the settings file.
struct Setting {
  /// Section and key, as "section.key".
  std::string_view key;
  bool required = false;
  /// The allowed values, as shown to the user in a fault.
  std::string_view allowed;
  /// Parses and checks a value, and stores it in the settings.
  std::function<Error(std::string_view, DaemonSettings&)> store;
};

/// A constraint on several keys.
struct JointRule {
  /// The key that a violation is reported for.
  std::string_view key;
  std::string_view allowed;
  bool (*holds)(const DaemonSettings& settings);
};

/// Returns all keys, grouped by section.
std::span<const Setting> SettingTable();

/// Returns the constraints on several keys.
std::span<const JointRule> JointRules();

/// Returns the setting with this key, or null.
const Setting* FindSetting(std::string_view key);

/// Lists the keys in the section of `key`, or all sections if that one is unknown.
std::string KeysOfSection(std::string_view key);

}  // namespace currantpost
