#include "callers.h"

#include <httplib.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace currantpost::testing_support {

using nlohmann::json;

namespace {

constexpr auto kPause = std::chrono::milliseconds(20);
constexpr int kMostTries = 3;

bool IsAnswer(CallerOutcome outcome) {
  return outcome != CallerOutcome::kNoAnswer && outcome != CallerOutcome::kNoConnection;
}

/// Says whether an answer's body is the upstream's to this very request.
bool IsAnswerTo(const std::string& text, const std::string& method, const std::string& path,
                size_t body_bytes) {
  const json body = json::parse(text, nullptr, false);
  return body.is_object() && body.value("method", "") == method && body.value("path", "") == path &&
         body.value("body_bytes", size_t{0}) == body_bytes;
}

CallerOutcome Judge(const httplib::Result& answer, const httplib::Request& request) {
  if (answer.error() == httplib::Error::Connection) return CallerOutcome::kNoConnection;
  if (!answer) return CallerOutcome::kNoAnswer;

  const std::string told = answer->get_header_value("X-Currantpost-Outcome");
  if (told == "not_run") return CallerOutcome::kNotRun;
  if (told == "unknown") return CallerOutcome::kUnknown;

  const bool is_ours =
      answer->status == 200 &&
      answer->get_header_value("X-Request-Id") == request.get_header_value("X-Request-Id") &&
      IsAnswerTo(answer->body, request.method, request.path, request.body.size());
  return is_ours ? CallerOutcome::kWhole : CallerOutcome::kWrong;
}

}  // namespace

CallerOutcome SendRequest(httplib::Client& client, const CallerRequest& request) {
  httplib::Request message;
  message.method = request.method;
  message.path = (request.method == "GET" ? "/board/" : "/orders/") + request.name;
  message.set_header("X-Request-Id", request.request_id);
  if (!request.key.empty()) message.set_header("Idempotency-Key", request.key);

  if (request.method == "POST") {
    message.body = "tofu for " + request.name;
    message.set_header("Content-Type", "text/plain");
  }

  return Judge(client.send(message), message);
}

CallerOutcome SendRequest(const Address& entry, const CallerRequest& request) {
  httplib::Client client(entry.host, entry.port);
  client.set_read_timeout(std::chrono::milliseconds(kCallerTimeout.Count()));
  return SendRequest(client, request);
}

Callers::Callers(std::vector<Address> entries, size_t callers_per_entry)
    : entries_(std::move(entries)), callers_per_entry_(callers_per_entry) {}

void Callers::Start() {
  for (size_t caller = 0; caller < entries_.size() * callers_per_entry_; ++caller) {
    threads_.emplace_back([this, caller] { Run(caller); });
  }
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Callers::Run(size_t caller) {
  size_t entry = caller % entries_.size();

  for (int number = 0; !stopping_; ++number) {
    // Callers run in step, and half of them are to have orders in flight at any time.
    const bool is_order = (caller / entries_.size() + number) % 2 == 1;
    const std::string name = "c" + std::to_string(caller) + "-" + std::to_string(number);

    for (int tries = 0; tries < kMostTries; ++tries) {
      const CallerRequest request{is_order ? "POST" : "GET", name,
                                  name + "-try" + std::to_string(tries),
                                  is_order ? "order-" + name : ""};
      const CallerOutcome outcome = SendRequest(entries_[entry], request);

      {
        const std::lock_guard lock(mutex_);
        records_.push_back(
            CallRecord{entry, request.method, request.request_id, request.key, outcome});
      }

      if (outcome == CallerOutcome::kWhole || outcome == CallerOutcome::kWrong) break;
      if (!IsAnswer(outcome)) entry = (entry + 1) % entries_.size();
    }

    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace currantpost::testing_support
