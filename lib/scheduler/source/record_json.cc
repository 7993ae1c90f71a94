#include "record_json.h"

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
  step.task_count = json.at("n").get<int32_t>();
  step.need.millicores = json.at("cpu").get<int64_t>();
  step.need.memory_mib = json.at("mem").get<int64_t>();
  step.need.accelerators = json.value("acc", common.need.accelerators);
  step.estimate = Millis(json.at("est").get<int64_t>());
  step.after = json.value("after", common.after);
  step.checkpointing = json.value("ckpt", common.checkpointing);
  step.gang = json.value("gang", common.gang);
  step.same_rack = json.value("same_rack", common.same_rack);
  step.speculative = json.value("spec", common.speculative);
  step.is_long_running = json.value("lasting", common.is_long_running);
  step.best_effort = json.value("fill", common.best_effort);
  step.worker_label = json.value("label", common.worker_label);
  step.preferred_rack = json.value("rack", common.preferred_rack);
  step.max_per_worker = json.value("per_worker", common.max_per_worker);
  step.image = json.value("image", common.image);
  step.latency_target = Millis(json.value("target", common.latency_target.Count()));
  step.max_unavailable = json.value("absent", common.max_unavailable);
  return step;
}

Json AddressJson(const Address& address) { return Json::array({address.host, address.port}); }

Address AddressOf(const Json& json) {
  return Address{json.at(0).get<std::string>(), json.at(1).get<int>()};
}

}  // namespace currantpost::scheduler
