#include "record_json.h"

#include "currantpost/model/json_integer.h"
#include "currantpost/scheduler/limits.h"

namespace currantpost::scheduler {
namespace {

template <typename Value>
void SetUnlessDefault(Json& json, const char* name, const Value& value, const Value& common) {
  if (value != common) json[name] = value;
}

}  // namespace

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Json> Parse(std::string_view text, std::string_view what) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return Fail(ErrorCode::kMalformed, std::string(what));
  return json;
}

Millis ReadDuration(const Json& json) {
  return Millis(ReadInteger<int64_t>(json, 0, kMaxDuration.Count()));
}

Millis ReadDurationOr(const Json& json, const char* key, Millis missing) {
  return json.contains(key) ? ReadDuration(json.at(key)) : missing;
}

Json StepJson(const StepSpec& step) {
  const StepSpec common;
  Json json = Json::object();
  json["n"] = step.task_count;
  json["cpu"] = step.need.millicores;
  json["mem"] = step.need.memory_mib;
  SetUnlessDefault(json, "acc", step.need.accelerators, common.need.accelerators);
  json["est"] = step.estimate.Count();
  SetUnlessDefault(json, "after", step.after, common.after);
  SetUnlessDefault(json, "ckpt", step.checkpointing, common.checkpointing);
  SetUnlessDefault(json, "gang", step.gang, common.gang);
  SetUnlessDefault(json, "same_rack", step.same_rack, common.same_rack);
  SetUnlessDefault(json, "spec", step.speculative, common.speculative);
  SetUnlessDefault(json, "lasting", step.is_long_running, common.is_long_running);
  SetUnlessDefault(json, "fill", step.best_effort, common.best_effort);
  SetUnlessDefault(json, "label", step.worker_label, common.worker_label);
  SetUnlessDefault(json, "rack", step.preferred_rack, common.preferred_rack);
  SetUnlessDefault(json, "per_worker", step.max_per_worker, common.max_per_worker);
  SetUnlessDefault(json, "image", step.image, common.image);
  SetUnlessDefault(json, "target", step.latency_target.Count(), common.latency_target.Count());
  SetUnlessDefault(json, "absent", step.max_unavailable, common.max_unavailable);
  return json;
}

StepSpec StepOf(const Json& json) {
  const StepSpec common;
  StepSpec step;
  step.task_count = ReadInteger<int32_t>(json.at("n"));
  step.need.millicores = ReadInteger<int64_t>(json.at("cpu"), 0, kMaxAmount);
  step.need.memory_mib = ReadInteger<int64_t>(json.at("mem"), 0, kMaxAmount);
  step.need.accelerators =
      ReadIntegerOr(json, "acc", common.need.accelerators, int64_t{0}, kMaxAmount);
  step.estimate = ReadDuration(json.at("est"));
  step.after = ReadIntegers<int32_t>(json, "after");
  step.checkpointing = json.value("ckpt", common.checkpointing);
  step.gang = json.value("gang", common.gang);
  step.same_rack = json.value("same_rack", common.same_rack);
  step.speculative = json.value("spec", common.speculative);
  step.is_long_running = json.value("lasting", common.is_long_running);
  step.best_effort = json.value("fill", common.best_effort);
  step.worker_label = json.value("label", common.worker_label);
  step.preferred_rack = json.value("rack", common.preferred_rack);
  step.max_per_worker = ReadIntegerOr(json, "per_worker", common.max_per_worker);
  step.image = json.value("image", common.image);
  step.latency_target = ReadDurationOr(json, "target", common.latency_target);
  step.max_unavailable = ReadIntegerOr(json, "absent", common.max_unavailable);
  return step;
}

Json AddressJson(const Address& address) { return Json::array({address.host, address.port}); }

Address AddressOf(const Json& json) {
  Address address{json.at(0).get<std::string>(), ReadInteger(json.at(1), 0, kMaxPort)};
  if (address.host.size() > kMaxHostLength) {
    throw Json::out_of_range::create(406, "the host is too long", &json);
  }

  return address;
}

}  // namespace currantpost::scheduler
