#include <iomanip>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

#include "command.h"
#include "currantpost/model/codec.h"
#include "currantpost/model/json.h"

/// Presets: the operators' lever.

namespace currantpost {
namespace {

constexpr int kNameWidth = 24;

/// The options of `preset set`; those not given leave the preset as it is.
struct PresetOptions {
  std::string name;
  std::string from;
  std::string file;
  std::optional<double> batch_share;
  std::optional<double> slowdown_limit;
  std::optional<int32_t> evictions_per_minute;
  std::optional<double> retry_budget;
  std::optional<double> hedge_budget;
  std::optional<double> ejection_limit;
};

Result<Configuration> FetchConfiguration(const OperatorClient& client) {
  const Result<nlohmann::json> answer = client.Get("/v1/presets");
  if (!answer) return tl::unexpected<Error>(answer.error());

  return DecodeConfiguration(answer->dump());
}

/// Writes the revision that each entry has applied, as far as the asked one knows.
Result<void> WriteApplied(ToolContext& context, const OperatorClient& client) {
  const Result<nlohmann::json> state = client.Get("/v1/state");
  if (!state) return tl::unexpected<Error>(state.error());

  context.out << "applied by:\n  " << std::left << std::setw(kNameWidth)
              << state->value("entry", "") << (*state)["configuration"]["revision"] << "\n";

  for (const auto& [entry, peer] : (*state)["membership"]["peers"].items()) {
    context.out << "  " << std::left << std::setw(kNameWidth) << entry
                << peer["configuration_revision"] << (peer["alive"] ? "" : "  (silent)") << "\n";
  }

  return {};
}

Result<void> List(ToolContext& context, const OperatorClient& client) {
  const Result<Configuration> configuration = FetchConfiguration(client);
  if (!configuration) return tl::unexpected<Error>(configuration.error());

  if (context.json) {
    context.out << Encode(*configuration) << "\n";
    return {};
  }

  context.out << "revision " << configuration->revision << "\n";

  for (const auto& [name, preset] : configuration->presets) {
    const bool is_in_force = name == configuration->in_force;
    context.out << (is_in_force ? "* " : "  ") << std::left << std::setw(kNameWidth) << name
                << "batch_share " << preset.batch_share << "  slowdown_limit "
                << preset.slowdown_limit << "\n";
  }

  return WriteApplied(context, client);
}

Result<void> Show(ToolContext& context, const OperatorClient& client, const std::string& name) {
  const Result<Configuration> configuration = FetchConfiguration(client);
  if (!configuration) return tl::unexpected<Error>(configuration.error());

  const auto preset = configuration->presets.find(name);
  if (preset == configuration->presets.end()) return Fail(ErrorCode::kNotFound, "preset " + name);

  context.out << nlohmann::json(preset->second).dump(2) << "\n";
  return {};
}

template <typename Value>
void Override(const std::optional<Value>& given, Value& value) {
  if (given) value = *given;
}

/// Builds the preset that `preset set` asks for, on the one there is.
Result<Preset> BuildPreset(const PresetOptions& options, const Configuration& configuration) {
  Preset preset;
  const std::string& base = options.from.empty() ? options.name : options.from;
  const auto found = configuration.presets.find(base);

  if (found != configuration.presets.end()) preset = found->second;
  if (found == configuration.presets.end() && !options.from.empty()) {
    return Fail(ErrorCode::kNotFound, "preset " + options.from);
  }

  if (!options.file.empty()) {
    const Result<std::string> text = ReadFile(options.file);
    if (!text) return tl::unexpected<Error>(text.error());

    const Result<Preset> read = DecodePreset(*text);
    if (!read) return read;
    preset = *read;
  }

  preset.name = options.name;
  Override(options.batch_share, preset.batch_share);
  Override(options.slowdown_limit, preset.slowdown_limit);
  Override(options.evictions_per_minute, preset.evictions_per_minute);
  Override(options.retry_budget, preset.retry_budget);
  Override(options.hedge_budget, preset.hedge_budget);
  Override(options.ejection_limit, preset.ejection_limit);
  return preset;
}

Result<void> WriteRevision(ToolContext& context, const Result<nlohmann::json>& answer) {
  if (!answer) return tl::unexpected<Error>(answer.error());

  if (context.json) {
    context.out << *answer << "\n";
  } else {
    context.out << "accepted as revision " << (*answer)["revision"] << "\n";
  }

  return {};
}

std::string ExpectedRevision(int64_t revision) {
  return "?expected_revision=" + std::to_string(revision);
}

Result<void> Set(ToolContext& context, const OperatorClient& client, const PresetOptions& options) {
  const Result<Configuration> configuration = FetchConfiguration(client);
  if (!configuration) return tl::unexpected<Error>(configuration.error());

  const Result<Preset> preset = BuildPreset(options, *configuration);
  if (!preset) return tl::unexpected<Error>(preset.error());

  // Bound to the revision that the preset was built on, so that no other operator's change is lost.
  const std::string path =
      "/v1/presets/" + options.name + ExpectedRevision(configuration->revision);
  return WriteRevision(context, client.Put(path, Encode(*preset)));
}

Result<void> Switch(ToolContext& context, const OperatorClient& client, const std::string& name,
                    int64_t expected) {
  const std::string path = "/v1/presets/" + name + "/switch" + ExpectedRevision(expected);
  const Result<void> written = WriteRevision(context, client.Post(path, ""));
  if (!written || context.json) return written;

  return WriteApplied(context, client);
}

void AddSet(CLI::App& group, ToolContext& context) {
  CLI::App* set = group.add_subcommand("set", "Creates a preset, or changes some of its values.");
  set->footer("Example: currantpost preset set peak --from ordinary --batch-share 0.3");

  auto options = std::make_shared<PresetOptions>();
  set->add_option("name", options->name, "preset to create or change")->required();
  set->add_option("--from", options->from, "preset to start from");
  set->add_option("--file", options->file, "JSON file with the whole preset; - reads the input");
  set->add_option("--batch-share", options->batch_share, "share of each VM for batch, 0 to 1");
  set->add_option("--slowdown-limit", options->slowdown_limit, "service slowdown, 1 or more");
  set->add_option("--evictions-per-minute", options->evictions_per_minute, "for each rack");
  set->add_option("--retry-budget", options->retry_budget, "share of requests, 0 to 1");
  set->add_option("--hedge-budget", options->hedge_budget, "share of requests, 0 to 1");
  set->add_option("--ejection-limit", options->ejection_limit, "share of upstreams, 0 to 1");

  set->callback([options, &context] {
    WithEntry(context,
              [&](const OperatorClient& client) { return Set(context, client, *options); });
  });
}

void AddSwitch(CLI::App& group, ToolContext& context) {
  CLI::App* command = group.add_subcommand("switch", "Puts a preset in force everywhere.");
  command->footer("Example: currantpost preset switch peak");

  auto name = std::make_shared<std::string>();
  auto expected = std::make_shared<int64_t>(0);
  command->add_option("name", *name, "preset to put in force")->required();
  command->add_option("--expect", *expected, "revision that must be the present one");

  command->callback([name, expected, &context] {
    WithEntry(context, [&](const OperatorClient& client) {
      return Switch(context, client, *name, *expected);
    });
  });
}

void Add(CLI::App& app, ToolContext& context) {
  CLI::App* group = app.add_subcommand("preset", "Lists, shows, sets and switches presets.");
  group->require_subcommand(1);

  CLI::App* list = group->add_subcommand("list", "Lists presets and who applied the revision.");
  list->footer("Example: currantpost preset list");
  list->callback([&context] {
    WithEntry(context, [&](const OperatorClient& client) { return List(context, client); });
  });

  CLI::App* show = group->add_subcommand("show", "Shows one preset.");
  show->footer("Example: currantpost preset show ordinary");
  auto name = std::make_shared<std::string>();
  show->add_option("name", *name, "preset to show")->required();
  show->callback([name, &context] {
    WithEntry(context, [&](const OperatorClient& client) { return Show(context, client, *name); });
  });

  AddSet(*group, context);
  AddSwitch(*group, context);
}

}  // namespace

const CommandGroup kPresetCommands = {.add = Add};

}  // namespace currantpost
