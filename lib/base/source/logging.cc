#include "currantpost/base/logging.h"

#include <easylogging++.h>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

namespace currantpost {
namespace {

/// Quotes a value that would not read back as one word.
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

}  // namespace

void SetUpLogging(Severity least) {
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configurations.setGlobally(el::ConfigurationType::Format,
                             "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configurations.set(el::Level::Info, el::ConfigurationType::Enabled,
                     least == Severity::kInfo ? "true" : "false");
  configurations.set(el::Level::Warning, el::ConfigurationType::Enabled,
                     least == Severity::kError ? "false" : "true");

  el::Loggers::setDefaultConfigurations(configurations, true);
}

void WriteLog(Severity severity, std::string_view part, std::string_view sentence,
              const std::vector<LogField>& fields) {
  std::string line = "[" + std::string(part) + "] " + std::string(sentence);

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

}  // namespace currantpost
