#include <memory>
#include <ostream>
#include <string>

#include "command.h"
#include "currantpost/settings/daemon_settings.h"

/// Checks of settings files; needs no running entry.

namespace currantpost {
namespace {

nlohmann::json FaultJson(const SettingsFault& fault) {
  return {{"file", fault.file},
          {"line", fault.line},
          {"key", fault.key},
          {"error", ErrorName(fault.error.code)},
          {"allowed", fault.allowed}};
}

void Check(ToolContext& context, const std::string& file) {
  const auto settings = LoadDaemonSettings(file);

  if (settings) {
    context.out << (context.json ? "{\"faults\":[]}" : file + ": good") << "\n";
    return;
  }

  context.exit_code = ExitCode::kBadInput;
  nlohmann::json faults = nlohmann::json::array();

  for (const SettingsFault& fault : settings.error()) {
    faults.push_back(FaultJson(fault));
    if (!context.json) context.error << FaultText(fault) << "\n";
  }

  if (context.json) context.out << nlohmann::json{{"faults", faults}} << "\n";
}

void Add(CLI::App& app, ToolContext& context) {
  CLI::App* group = app.add_subcommand("settings", "Checks settings files of the daemon.");
  group->require_subcommand(1);

  CLI::App* check = group->add_subcommand("check", "Names every fault of a settings file.");
  check->footer("Example: currantpost settings check currantpostd.ini");

  auto file = std::make_shared<std::string>();
  check->add_option("file", *file, "settings file")->required();
  check->callback([file, &context] { Check(context, *file); });
}

}  // namespace

const CommandGroup kSettingsCommands = {.add = Add};

}  // namespace currantpost
