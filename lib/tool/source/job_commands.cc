#include <memory>
#include <ostream>
#include <string>

#include "command.h"
#include "currantpost/model/codec.h"
#include "currantpost/model/json.h"

/// Jobs: submit, show, cancel, and why a task is where it is.

namespace currantpost {
namespace {

/// Writes an answer: JSON on one line, or indented for people.
Result<void> Write(ToolContext& context, const Result<nlohmann::json>& answer) {
  if (!answer) return tl::unexpected<Error>(answer.error());

  context.out << answer->dump(context.json ? -1 : 2) << "\n";
  return {};
}

Result<void> Submit(ToolContext& context, const OperatorClient& client, const std::string& file) {
  const Result<std::string> text = ReadFile(file);
  if (!text) return tl::unexpected<Error>(text.error());

  // Checked here first, so that a bad file is named before anything is sent.
  const Result<JobSpec> spec = DecodeJobSpec(*text);
  if (!spec) return tl::unexpected<Error>(spec.error());

  return Write(context, client.Post("/v1/jobs", Encode(*spec)));
}

void AddSubmit(CLI::App& group, ToolContext& context) {
  CLI::App* submit = group.add_subcommand("submit", "Submits a job; repeating it is safe.");
  submit->footer(
      "Example: currantpost job submit order.json, with order.json holding\n"
      "{\"job\": \"pantry-7\", \"team\": \"kitchen\", \"class\": \"batch\", \"kind\": \"pantry\",\n"
      " \"declared\": {\"millicores\": 500, \"memory_mib\": 256}, \"task_count\": 3,\n"
      " \"run_time_ms\": 2000}");

  auto file = std::make_shared<std::string>();
  submit->add_option("file", *file, "JSON file of the job; - reads the input")->required();
  submit->callback([file, &context] {
    WithEntry(context,
              [&](const OperatorClient& client) { return Submit(context, client, *file); });
  });
}

void AddNamed(CLI::App& group, ToolContext& context, const char* command, const char* description,
              const char* example,
              Result<nlohmann::json> (*call)(const OperatorClient& client,
                                             const std::string& job)) {
  CLI::App* added = group.add_subcommand(command, description);
  added->footer(example);

  auto job = std::make_shared<std::string>();
  added->add_option("job", *job, "name of the job")->required();
  added->callback([job, call, &context] {
    WithEntry(context,
              [&](const OperatorClient& client) { return Write(context, call(client, *job)); });
  });
}

void AddExplain(CLI::App& app, ToolContext& context) {
  CLI::App* explain = app.add_subcommand("explain", "Says why a task is, or is not, where it is.");
  explain->footer("Example: currantpost explain pantry-7 0");

  auto job = std::make_shared<std::string>();
  auto index = std::make_shared<int32_t>(0);
  explain->add_option("job", *job, "name of the job")->required();
  explain->add_option("task", *index, "number of the task, from 0")->required();
  explain->callback([job, index, &context] {
    WithEntry(context, [&](const OperatorClient& client) {
      const std::string path = "/v1/tasks/" + *job + "/" + std::to_string(*index) + "/explain";
      return Write(context, client.Get(path));
    });
  });
}

void Add(CLI::App& app, ToolContext& context) {
  CLI::App* group = app.add_subcommand("job", "Submits, shows and cancels jobs.");
  group->require_subcommand(1);

  AddSubmit(*group, context);
  AddNamed(*group, context, "show", "Shows how far a job is.",
           "Example: currantpost job show pantry-7",
           [](const OperatorClient& client, const std::string& job) {
             return client.Get("/v1/jobs/" + job);
           });
  AddNamed(*group, context, "cancel", "Cancels a job; its running tasks are stopped.",
           "Example: currantpost job cancel pantry-7",
           [](const OperatorClient& client, const std::string& job) {
             return client.Post("/v1/jobs/" + job + "/cancel", "");
           });

  AddExplain(app, context);
}

}  // namespace

const CommandGroup kJobCommands = {.add = Add};

}  // namespace currantpost
