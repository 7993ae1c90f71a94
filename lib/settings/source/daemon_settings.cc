#include "currantpost/settings/daemon_settings.h"

#include <ini.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <utility>

#include "setting_table.h"

namespace currantpost {
namespace {

/// Reads and checks one settings file.
class SettingsReader {
 public:
  SettingsReader(std::istream& stream, std::string file)
      : stream_(stream), file_(std::move(file)) {}

  /// Reads the whole file and collects all faults in it.
  void Read() {
    const int first_bad_line =
        ini_parse_stream(&SettingsReader::NextLine, this, &SettingsReader::HandleValue, this);

    if (first_bad_line > 0) {
      AddFault(ErrorCode::kMalformed, first_bad_line, "", "[section] or key = value");
    }

    CheckRequired();
    if (faults_.empty()) CheckJointRules();
  }

  /// Moves out the settings, or the faults if there are any.
  tl::expected<DaemonSettings, std::vector<SettingsFault>> Take() {
    if (!faults_.empty()) return tl::unexpected<std::vector<SettingsFault>>(std::move(faults_));

    return std::move(settings_);
  }

 private:
  // The parser reports no line numbers to its handler, so the reader counts the lines it supplies.
  static char* NextLine(char* buffer, int size, void* self) {
    auto* reader = static_cast<SettingsReader*>(self);
    std::string line;
    if (!std::getline(reader->stream_, line)) return nullptr;

    ++reader->line_;

    if (line.size() + 1 > static_cast<size_t>(size)) {
      reader->AddFault(ErrorCode::kTooLarge, reader->line_, "", "lines of up to 198 characters");
      line.clear();
    }

    std::copy(line.begin(), line.end(), buffer);
    buffer[line.size()] = '\0';
    return buffer;
  }

  static int HandleValue(void* self, const char* section, const char* key, const char* value) {
    static_cast<SettingsReader*>(self)->Take(std::string(section) + "." + key, value);

    // 1 makes the parser continue, so that all faults of the file are collected.
    return 1;
  }

  void Take(const std::string& key, std::string_view value) {
    const Setting* setting = FindSetting(key);

    if (setting == nullptr) {
      return AddFault(ErrorCode::kUnknownKey, line_, key, KeysOfSection(key));
    }

    if (!lines_.emplace(key, line_).second) {
      return AddFault(ErrorCode::kAlreadyExists, line_, key, "each key once");
    }

    if (const Error error = setting->store(value, settings_); error.code) {
      AddFault(static_cast<ErrorCode>(error.code.value()), line_, key, setting->allowed);
    }
  }

  void CheckRequired() {
    for (const Setting& setting : SettingTable()) {
      const std::string key(setting.key);
      if (!setting.required || lines_.contains(key)) continue;

      AddFault(ErrorCode::kMissingKey, 0, key, setting.allowed);
    }
  }

  void CheckJointRules() {
    for (const JointRule& rule : JointRules()) {
      if (rule.holds(settings_)) continue;

      const std::string key(rule.key);
      const auto line = lines_.find(key);
      AddFault(ErrorCode::kOutOfRange, line == lines_.end() ? 0 : line->second, key, rule.allowed);
    }
  }

  void AddFault(ErrorCode code, int32_t line, std::string key, std::string_view allowed) {
    SettingsFault fault{.error = MakeError(code, key), .file = file_, .line = line};
    fault.key = std::move(key);
    fault.allowed = allowed;
    faults_.push_back(std::move(fault));
  }

  std::istream& stream_;
  std::string file_;
  int32_t line_ = 0;
  DaemonSettings settings_;
  std::map<std::string, int32_t> lines_;
  std::vector<SettingsFault> faults_;
};

}  // namespace

tl::expected<DaemonSettings, std::vector<SettingsFault>> LoadDaemonSettings(
    const std::string& path) {
  std::ifstream stream(path);

  if (!stream) {
    SettingsFault fault{
        .error = MakeError(ErrorCode::kUnreadable, path), .file = path, .allowed = "a file"};
    return tl::unexpected<std::vector<SettingsFault>>({std::move(fault)});
  }

  SettingsReader reader(stream, path);
  reader.Read();
  return reader.Take();
}

std::string FaultText(const SettingsFault& fault) {
  std::ostringstream text;
  text << fault.file << ":" << fault.line << ": " << fault.key << ": "
       << ErrorName(fault.error.code) << "; allowed: " << fault.allowed;
  return text.str();
}

}  // namespace currantpost
