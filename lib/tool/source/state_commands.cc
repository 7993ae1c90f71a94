#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

#include "command.h"
#include "currantpost/model/json.h"

/// Dumps of the state of one entry, or of all entries of its data centre.

namespace currantpost {
namespace {

/// Returns the operators' addresses of the other entries of the same data centre.
std::map<std::string, Address> Neighbours(const nlohmann::json& state) {
  std::map<std::string, Address> neighbours;
  const std::string data_centre = state.value("data_centre", "");

  for (const auto& [entry, peer] : state.at("membership").at("peers").items()) {
    if (peer.value("data_centre", "") != data_centre) continue;

    neighbours[entry] = Address{peer.value("operator_host", ""), peer.value("operator_port", 0)};
  }

  return neighbours;
}

Result<nlohmann::json> CollectDataCentre(const OperatorClient& client) {
  Result<nlohmann::json> first = client.Get("/v1/state");
  if (!first) return first;

  nlohmann::json all;
  all["data_centre"] = first->value("data_centre", "");
  all["entries"][first->value("entry", "")] = *first;

  for (const auto& [entry, address] : Neighbours(*first)) {
    const Result<nlohmann::json> state = OperatorClient(address).Get("/v1/state");

    // A dump of what can be reached is worth more than none.
    all["entries"][entry] =
        state ? *state : nlohmann::json{{"error", ErrorName(state.error().code)}};
  }

  return all;
}

Result<void> Dump(ToolContext& context, const OperatorClient& client, bool whole_data_centre) {
  const Result<nlohmann::json> state =
      whole_data_centre ? CollectDataCentre(client) : client.Get("/v1/state");
  if (!state) return tl::unexpected<Error>(state.error());

  context.out << state->dump(context.json ? -1 : 2) << "\n";
  return {};
}

void Add(CLI::App& app, ToolContext& context) {
  CLI::App* state = app.add_subcommand("state", "Dumps the state of an entry or a data centre.");
  state->footer("Example: currantpost --entry 127.0.0.1:8081 state --data-centre");

  auto whole = std::make_shared<bool>(false);
  state->add_flag("--data-centre", *whole, "all entries of the entry's data centre");
  state->callback([whole, &context] {
    WithEntry(context, [&](const OperatorClient& client) { return Dump(context, client, *whole); });
  });
}

}  // namespace

const CommandGroup kStateCommands = {.add = Add};

}  // namespace currantpost
