#include "callers.h"

#include <httplib.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace currantpost::demo {

using nlohmann::json;

namespace {

constexpr auto kPause = std::chrono::milliseconds(20);
constexpr auto kTimeout = std::chrono::seconds(8);
constexpr int kMostTries = 3;

/// Says whether an answer's body is the upstream's to this very request.
bool IsAnswerTo(const std::string& text, const std::string& method, const std::string& path,
                size_t body_bytes) {
  const json body = json::parse(text, nullptr, false);
  return body.is_object() && body.value("method", "") == method && body.value("path", "") == path &&
         body.value("body_bytes", size_t{0}) == body_bytes;
}

CallerOutcome Judge(const httplib::Result& answer, const httplib::Request& request) {
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

Callers::Callers(std::vector<Address> entries) : entries_(std::move(entries)) {}

void Callers::Start() {
  for (size_t caller = 0; caller < entries_.size(); ++caller) {
    threads_.emplace_back([this, caller] { Run(caller); });
  }
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Callers::Run(size_t caller) {
  size_t entry = caller;

  for (int number = 0; !stopping_; ++number) {
    const bool is_order = number % 2 == 1;
    const std::string name = "c" + std::to_string(caller) + "-" + std::to_string(number);

    for (int tries = 0; tries < kMostTries; ++tries) {
      CallRecord record =
          Send(entry, is_order ? "POST" : "GET", name, name + "-try" + std::to_string(tries));
      const CallerOutcome outcome = record.outcome;

      {
        const std::lock_guard lock(mutex_);
        records_.push_back(std::move(record));
      }

      if (outcome == CallerOutcome::kWhole || outcome == CallerOutcome::kWrong) break;
      if (outcome == CallerOutcome::kNoAnswer) entry = (entry + 1) % entries_.size();
    }

    std::this_thread::sleep_for(kPause);
  }
}

CallRecord Callers::Send(size_t entry, const std::string& method, const std::string& name,
                         const std::string& request_id) {
  CallRecord record{entry, method, request_id};
  httplib::Client client(entries_[entry].host, entries_[entry].port);
  client.set_read_timeout(kTimeout);

  httplib::Request request;
  request.method = method;
  request.path = (method == "GET" ? "/board/" : "/orders/") + name;
  request.set_header("X-Request-Id", request_id);

  if (method == "POST") {
    record.key = "order-" + name;
    request.body = "tofu for " + name;
    request.set_header("Idempotency-Key", record.key);
    request.set_header("Content-Type", "text/plain");
  }

  record.outcome = Judge(client.send(request), request);
  return record;
}

}  // namespace currantpost::demo
