#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>

#include "currantpost/base/error.h"
#include "currantpost/tool/exit_code.h"
#include "currantpost/tool/operator_client.h"

namespace currantpost {

/// What all commands share.
struct ToolContext {
  std::ostream& out;
  std::ostream& error;
  /// Address of the entry's operators' interface, as given.
  std::string entry;
  bool json = false;
  ExitCode exit_code = ExitCode::kOk;
};

/// One group of commands, such as "preset".
struct CommandGroup {
  /// Adds the group's commands to the command line.
  void (*add)(CLI::App& app, ToolContext& context);
};

extern const CommandGroup kPresetCommands;
extern const CommandGroup kQuotaCommands;
extern const CommandGroup kJobCommands;
extern const CommandGroup kStateCommands;
extern const CommandGroup kSettingsCommands;

/// Runs a command against the entry named on the command line, and reports its failure.
void WithEntry(ToolContext& context,
               const std::function<Result<void>(const OperatorClient& client)>& command);

/// Reports a failure: its type, what it is about, and what to do.
void ReportFailure(ToolContext& context, const Error& error);

/// Reads a whole file. "-" is the standard input.
Result<std::string> ReadFile(const std::string& path);

}  // namespace currantpost
