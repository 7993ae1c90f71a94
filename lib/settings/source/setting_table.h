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
  /// What may stand there, for the fault's text.
  std::string_view allowed;
  /// Checks a value and stores it.
  std::function<Error(std::string_view, DaemonSettings&)> store;
};

/// A rule over several keys.
struct JointRule {
  /// The key that a fault is reported for.
  std::string_view key;
  std::string_view allowed;
  bool (*holds)(const DaemonSettings& settings);
};

/// Returns all keys, sorted by section.
std::span<const Setting> SettingTable();

/// Returns the rules over several keys.
std::span<const JointRule> JointRules();

/// Returns the row of a key, or nothing.
const Setting* FindSetting(std::string_view key);

/// Returns the names of the keys that the section of `key` knows, or those of all sections.
std::string KeysOfSection(std::string_view key);

}  // namespace currantpost
