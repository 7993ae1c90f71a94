#include "currantpost/tool/tool.h"

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

#include "command.h"
#include "currantpost/settings/address.h"

namespace currantpost {
namespace {

constexpr std::array kGroups = {&kPresetCommands, &kQuotaCommands, &kJobCommands, &kStateCommands,
                                &kSettingsCommands};

constexpr const char* kFooter =
    "Exit codes: 0 done; 1 refused, nothing changed; 2 bad input, nothing sent;\n"
    "3 unavailable, nothing changed; 4 outcome unknown, safe to repeat.\n"
    "Example: currantpost --entry 127.0.0.1:8081 preset list";

}  // namespace

void WithEntry(ToolContext& context,
               const std::function<Result<void>(const OperatorClient& client)>& command) {
  const Result<Address> entry = ReadAddress(context.entry);

  if (!entry) {
    ReportFailure(context,
                  MakeError(ErrorCode::kInvalidArgument,
                            "--entry takes an IP number and port, not '" + context.entry + "'"));
    return;
  }

  const Result<void> result = command(OperatorClient(*entry));
  if (!result) ReportFailure(context, result.error());
}

void ReportFailure(ToolContext& context, const Error& error) {
  context.exit_code = ExitCodeOf(error);
  const std::string name = ErrorName(error.code);

  if (context.json) {
    context.error << nlohmann::json{{"error", name},
                                    {"detail", error.detail},
                                    {"advice", AdviceFor(error)}}
                  << "\n";
    return;
  }

  context.error << "currantpost: " << name << ": " << error.detail << "\n"
                << "  " << AdviceFor(error) << "\n";
}

Result<std::string> ReadFile(const std::string& path) {
  std::ostringstream text;

  if (path == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }

  const std::ifstream file(path);
  if (!file) return Fail(ErrorCode::kUnreadable, path);

  text << file.rdbuf();
  return text.str();
}

ExitCode RunTool(int argument_count, const char* const* arguments, std::ostream& out,
                 std::ostream& error) {
  CLI::App app("Drives currantpost: presets, quotas, jobs, state and settings.", "currantpost");
  app.footer(kFooter);
  app.require_subcommand(1);

  ToolContext context{.out = out, .error = error, .entry = "127.0.0.1:8081"};
  app.add_option("--entry", context.entry, "operators' address of any entry, IP number and port")
      ->envname("CURRANTPOST_ENTRY")
      ->capture_default_str();
  app.add_flag("--json", context.json, "write results and failures as JSON");

  for (const CommandGroup* group : kGroups) group->add(app, context);

  try {
    app.parse(argument_count, arguments);
  } catch (const CLI::ParseError& parse_error) {
    const bool asked_for_help = app.exit(parse_error, out, error) == 0;
    return asked_for_help ? ExitCode::kOk : ExitCode::kBadInput;
  }

  return context.exit_code;
}

}  // namespace currantpost
