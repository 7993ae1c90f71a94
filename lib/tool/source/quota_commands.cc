#include <memory>
#include <ostream>
#include <string>

#include "command.h"
#include "currantpost/model/codec.h"
#include "currantpost/model/json.h"

/// Quotas of teams.

namespace currantpost {
namespace {

struct QuotaOptions {
  std::string team;
  Resources limit;
};

Result<void> Set(ToolContext& context, const OperatorClient& client, const QuotaOptions& options) {
  const Result<nlohmann::json> answer =
      client.Put("/v1/quotas/" + options.team, Encode(options.limit));
  if (!answer) return tl::unexpected<Error>(answer.error());

  context.out << "accepted as revision " << (*answer)["revision"] << "\n";
  return {};
}

Result<void> List(ToolContext& context, const OperatorClient& client) {
  const Result<nlohmann::json> answer = client.Get("/v1/presets");
  if (!answer) return tl::unexpected<Error>(answer.error());

  context.out << (*answer)["quotas"].dump(context.json ? -1 : 2) << "\n";
  return {};
}

void Add(CLI::App& app, ToolContext& context) {
  CLI::App* group = app.add_subcommand("quota", "Lists and sets the quotas of teams.");
  group->require_subcommand(1);

  CLI::App* list = group->add_subcommand("list", "Lists all quotas.");
  list->footer("Example: currantpost quota list");
  list->callback([&context] {
    WithEntry(context, [&](const OperatorClient& client) { return List(context, client); });
  });

  CLI::App* set =
      group->add_subcommand("set", "Sets what a team's batch may hold per data centre.");
  set->footer("Example: currantpost quota set kitchen --millicores 64000 --memory-mib 131072");

  auto options = std::make_shared<QuotaOptions>();
  set->add_option("team", options->team, "team")->required();
  set->add_option("--millicores", options->limit.millicores, "thousandths of a core")->required();
  set->add_option("--memory-mib", options->limit.memory_mib, "mebibytes")->required();
  set->add_option("--accelerators", options->limit.accelerators, "whole accelerators");
  set->callback([options, &context] {
    WithEntry(context,
              [&](const OperatorClient& client) { return Set(context, client, *options); });
  });
}

}  // namespace

const CommandGroup kQuotaCommands = {.add = Add};

}  // namespace currantpost
