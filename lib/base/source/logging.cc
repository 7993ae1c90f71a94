#include "currantpost/base/logging.h"

#include <easylogging++.h>
#include <unistd.h>

#include <algorithm>

#include "currantpost/base/bounded_output.h"

INITIALIZE_EASYLOGGINGPP

namespace currantpost {
namespace {

/// Quotes a value that is empty or contains anything but printable ASCII without spaces, quotes and
/// equals signs, so that a line can be split into its fields. Line breaks become spaces.
std::string FieldText(const std::string& value) {
  const auto is_plain = [](char character) {
    return character > ' ' && character != '"' && character != '=' && character != '\x7f';
  };

  if (!value.empty() && std::ranges::all_of(value, is_plain)) return value;

  std::string quoted = "\"";

  for (const char character : value) {
    if (character == '"' || character == '\\') quoted += '\\';
    quoted += character == '\n' || character == '\r' ? ' ' : character;
  }

  return quoted + "\"";
}

/// Limit in bytes on lines buffered for a slow reader: some seconds of a busy process's log.
constexpr size_t kMaxBufferedBytes = 256U << 10U;
constexpr const char* kSinkName = "BoundedOutput";

/// Writes the lines of the logging library. Replaces the library's own output, which blocks on the
/// reader of standard output.
class Sink : public el::LogDispatchCallback {
 public:
  Sink() : output_(STDOUT_FILENO, kMaxBufferedBytes) {}

  [[nodiscard]] uint64_t dropped() const { return output_.dropped(); }

 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    output_.Write(message->logger()->logBuilder()->build(message, true));
  }

 private:
  BoundedOutput output_;
};

}  // namespace

void SetUpLogging(Severity min_severity) {
  el::Helpers::installLogDispatchCallback<Sink>(kSinkName);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");

  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configurations.setGlobally(el::ConfigurationType::Format,
                             "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configurations.set(el::Level::Info, el::ConfigurationType::Enabled,
                     min_severity == Severity::kInfo ? "true" : "false");
  configurations.set(el::Level::Warning, el::ConfigurationType::Enabled,
                     min_severity == Severity::kError ? "false" : "true");

  el::Loggers::setDefaultConfigurations(configurations, true);
}

void WriteLog(Severity severity, std::string_view component, std::string_view message,
              const std::vector<LogField>& fields) {
  std::string line = "[" + std::string(component) + "] " + std::string(message);

  for (const LogField& field : fields) line += " " + field.name + "=" + FieldText(field.value);

  switch (severity) {
    case Severity::kInfo:
      LOG(INFO) << line;
      return;
    case Severity::kWarning:
      LOG(WARNING) << line;
      return;
    case Severity::kError:
      LOG(ERROR) << line;
      return;
  }
}

uint64_t DroppedLogLines() {
  const Sink* sink = el::Helpers::logDispatchCallback<Sink>(kSinkName);
  return sink == nullptr ? 0 : sink->dropped();
}

}  // namespace currantpost
