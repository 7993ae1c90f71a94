#include "currantpost/model/json.h"

namespace currantpost {

using nlohmann::json;

// NOLINTBEGIN(readability-identifier-naming)

void to_json(json& out, const Millis& millis) { out = millis.Count(); }

void from_json(const json& in, Millis& millis) { millis = Millis(in.get<int64_t>()); }

void to_json(json& out, const Resources& resources) {
  out = json{{"millicores", resources.millicores},
             {"memory_mib", resources.memory_mib},
             {"accelerators", resources.accelerators}};
}

void from_json(const json& in, Resources& resources) {
  Read(in, "millicores", resources.millicores);
  Read(in, "memory_mib", resources.memory_mib);
  ReadOptional(in, "accelerators", resources.accelerators);
}

void to_json(json& out, const Address& address) {
  out = json{{"host", address.host}, {"port", address.port}};
}

void from_json(const json& in, Address& address) {
  Read(in, "host", address.host);
  Read(in, "port", address.port);
}

void to_json(json& out, const VmRecord& vm) {
  out = json{{"vm", vm.vm},
             {"incarnation", vm.incarnation},
             {"data_centre", vm.data_centre},
             {"rack", vm.rack},
             {"state", kVmStateNames.Name(vm.state)},
             {"capacity", vm.capacity},
             {"worker", vm.worker},
             {"upstream", vm.upstream}};
}

void from_json(const json& in, VmRecord& vm) {
  Read(in, "vm", vm.vm);
  Read(in, "incarnation", vm.incarnation);
  Read(in, "data_centre", vm.data_centre);
  Read(in, "rack", vm.rack);
  ReadName(in, "state", kVmStateNames, vm.state);
  ReadOptional(in, "capacity", vm.capacity);
  ReadOptional(in, "worker", vm.worker);
  ReadOptional(in, "upstream", vm.upstream);
}

void to_json(json& out, const JobSpec& spec) {
  out = json{{"job", spec.job},
             {"team", spec.team},
             {"class", kTaskClassNames.Name(spec.task_class)},
             {"priority", kPriorityNames.Name(spec.priority)},
             {"kind", spec.kind},
             {"declared", spec.declared},
             {"task_count", spec.task_count},
             {"run_time_ms", spec.run_time}};
}

void from_json(const json& in, JobSpec& spec) {
  Read(in, "job", spec.job);
  Read(in, "team", spec.team);
  ReadName(in, "class", kTaskClassNames, spec.task_class);
  if (in.contains("priority")) ReadName(in, "priority", kPriorityNames, spec.priority);
  Read(in, "kind", spec.kind);
  Read(in, "declared", spec.declared);
  ReadOptional(in, "task_count", spec.task_count);
  ReadOptional(in, "run_time_ms", spec.run_time);
}

void to_json(json& out, const JobPart& part) {
  out = json{{"home", part.home}, {"first_task", part.first_task}, {"task_count", part.task_count}};
}

void from_json(const json& in, JobPart& part) {
  Read(in, "home", part.home);
  Read(in, "first_task", part.first_task);
  Read(in, "task_count", part.task_count);
}

void to_json(json& out, const JobRecord& record) {
  out = json{{"spec", record.spec},
             {"parts", record.parts},
             {"cancelled", record.cancelled},
             {"change_id", record.change_id}};
}

void from_json(const json& in, JobRecord& record) {
  Read(in, "spec", record.spec);
  Read(in, "parts", record.parts);
  Read(in, "cancelled", record.cancelled);
  Read(in, "change_id", record.change_id);
}

void to_json(json& out, const PartRecord& record) {
  out = json{{"job", record.job},
             {"completed", record.completed},
             {"failed", record.failed},
             {"change_id", record.change_id}};
}

void from_json(const json& in, PartRecord& record) {
  Read(in, "job", record.job);
  Read(in, "completed", record.completed);
  Read(in, "failed", record.failed);
  Read(in, "change_id", record.change_id);
}

void to_json(json& out, const RackMember& member) {
  out = json{{"vm", member.vm}, {"incarnation", member.incarnation}, {"worker", member.worker}};
}

void from_json(const json& in, RackMember& member) {
  Read(in, "vm", member.vm);
  Read(in, "incarnation", member.incarnation);
  Read(in, "worker", member.worker);
}

void to_json(json& out, const ReleasedAttempt& released) {
  out = json{
      {"task", released.task}, {"attempt", released.attempt}, {"checkpoint", released.checkpoint}};
}

void from_json(const json& in, ReleasedAttempt& released) {
  Read(in, "task", released.task);
  Read(in, "attempt", released.attempt);
  ReadOptional(in, "checkpoint", released.checkpoint);
}

void to_json(json& out, const RackRecord& record) {
  out = json{{"owner", record.owner},     {"incarnation", record.incarnation},
             {"epoch", record.epoch},     {"change_id", record.change_id},
             {"members", record.members}, {"released", record.released}};
}

void from_json(const json& in, RackRecord& record) {
  Read(in, "owner", record.owner);
  Read(in, "incarnation", record.incarnation);
  Read(in, "epoch", record.epoch);
  Read(in, "change_id", record.change_id);
  ReadOptional(in, "members", record.members);
  ReadOptional(in, "released", record.released);
}

void to_json(json& out, const TaskKey& key) { out = json{{"job", key.job}, {"index", key.index}}; }

void from_json(const json& in, TaskKey& key) {
  Read(in, "job", key.job);
  Read(in, "index", key.index);
}

void to_json(json& out, const WorkerTask& task) {
  out = json{{"task", task.task},
             {"attempt", task.attempt},
             {"state", kWorkerTaskStateNames.Name(task.state)},
             {"held", task.held},
             {"checkpoint", task.checkpoint},
             {"progress_ms", task.progress},
             {"throttled", task.throttled}};
}

void from_json(const json& in, WorkerTask& task) {
  Read(in, "task", task.task);
  Read(in, "attempt", task.attempt);
  ReadName(in, "state", kWorkerTaskStateNames, task.state);
  Read(in, "held", task.held);
  ReadOptional(in, "checkpoint", task.checkpoint);
  ReadOptional(in, "progress_ms", task.progress);
  ReadOptional(in, "throttled", task.throttled);
}

void to_json(json& out, const TaskUsage& usage) {
  out = json{{"task", usage.task},
             {"attempt", usage.attempt},
             {"used", usage.used},
             {"slowdown", usage.slowdown}};
}

void from_json(const json& in, TaskUsage& usage) {
  Read(in, "task", usage.task);
  Read(in, "attempt", usage.attempt);
  Read(in, "used", usage.used);
  ReadOptional(in, "slowdown", usage.slowdown);
}

void to_json(json& out, const WorkerTable& table) {
  out = json{{"incarnation", table.incarnation}, {"epoch", table.epoch},
             {"capacity", table.capacity},       {"tasks", table.tasks},
             {"usage_age_ms", table.usage_age},  {"usage", table.usage}};
}

void from_json(const json& in, WorkerTable& table) {
  Read(in, "incarnation", table.incarnation);
  Read(in, "epoch", table.epoch);
  Read(in, "capacity", table.capacity);
  Read(in, "tasks", table.tasks);
  ReadOptional(in, "usage_age_ms", table.usage_age);
  ReadOptional(in, "usage", table.usage);
}

void to_json(json& out, const RouteRule& route) {
  out = json{{"prefix", route.prefix},
             {"priority", kPriorityNames.Name(route.priority)},
             {"repeatable_methods", route.repeatable_methods},
             {"timeout_ms", route.timeout}};
}

void from_json(const json& in, RouteRule& route) {
  Read(in, "prefix", route.prefix);
  if (in.contains("priority")) ReadName(in, "priority", kPriorityNames, route.priority);
  ReadOptional(in, "repeatable_methods", route.repeatable_methods);
  ReadOptional(in, "timeout_ms", route.timeout);
}

void to_json(json& out, const Preset& preset) {
  out = json{{"name", preset.name},
             {"batch_share", preset.batch_share},
             {"slowdown_limit", preset.slowdown_limit},
             {"evictions_per_minute", preset.evictions_per_minute},
             {"eviction_hysteresis_ms", preset.eviction_hysteresis},
             {"retry_budget", preset.retry_budget},
             {"hedge_budget", preset.hedge_budget},
             {"ejection_limit", preset.ejection_limit},
             {"routes", preset.routes}};
}

void from_json(const json& in, Preset& preset) {
  Read(in, "name", preset.name);
  ReadOptional(in, "batch_share", preset.batch_share);
  ReadOptional(in, "slowdown_limit", preset.slowdown_limit);
  ReadOptional(in, "evictions_per_minute", preset.evictions_per_minute);
  ReadOptional(in, "eviction_hysteresis_ms", preset.eviction_hysteresis);
  ReadOptional(in, "retry_budget", preset.retry_budget);
  ReadOptional(in, "hedge_budget", preset.hedge_budget);
  ReadOptional(in, "ejection_limit", preset.ejection_limit);
  ReadOptional(in, "routes", preset.routes);
}

void to_json(json& out, const Configuration& configuration) {
  out = json{{"revision", configuration.revision},
             {"change_id", configuration.change_id},
             {"recent_changes", configuration.recent_changes},
             {"in_force", configuration.in_force},
             {"presets", configuration.presets},
             {"quotas", configuration.quotas}};
}

void from_json(const json& in, Configuration& configuration) {
  Read(in, "revision", configuration.revision);
  Read(in, "change_id", configuration.change_id);
  ReadOptional(in, "recent_changes", configuration.recent_changes);
  Read(in, "in_force", configuration.in_force);
  Read(in, "presets", configuration.presets);
  Read(in, "quotas", configuration.quotas);
}

// NOLINTEND(readability-identifier-naming)

}  // namespace currantpost
