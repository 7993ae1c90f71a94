#include "setting_table.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "values.h"

namespace currantpost {
namespace {

using Store = std::function<Error(std::string_view, DaemonSettings&)>;

/// Returns a function that parses and checks a value and stores it in the member that `get_member`
/// returns.
template <typename Parse, typename GetMember, typename Check>
Store StoreChecked(Parse parse, GetMember get_member, Check is_allowed) {
  return [=](std::string_view text, DaemonSettings& settings) -> Error {
    const auto value = parse(text);
    if (!value) return value.error();
    if (!is_allowed(*value)) return MakeError(ErrorCode::kOutOfRange);

    auto& target = get_member(settings);
    target = static_cast<std::remove_reference_t<decltype(target)>>(*value);
    return Error{};
  };
}

template <typename GetMember>
Store Number(GetMember get_member, int64_t min, int64_t max) {
  return StoreChecked(ParseNumber, get_member,
                      [=](int64_t value) { return value >= min && value <= max; });
}

template <typename GetMember>
Store Duration(GetMember get_member, Millis min, Millis max) {
  return StoreChecked(ParseDuration, get_member,
                      [=](Millis value) { return value >= min && value <= max; });
}

template <typename GetMember>
Store Bytes(GetMember get_member, int64_t min, int64_t max) {
  return StoreChecked(ParseBytes, get_member,
                      [=](int64_t value) { return value >= min && value <= max; });
}

template <typename GetMember>
Store Share(GetMember get_member) {
  return StoreChecked(ParseShare, get_member, [](double) { return true; });
}

template <typename GetMember>
Store IpAddress(GetMember get_member) {
  return StoreChecked(ReadAddress, get_member, [](const Address&) { return true; });
}

template <typename GetMember>
Store Name(GetMember get_member) {
  return [=](std::string_view text, DaemonSettings& settings) -> Error {
    const Result<std::string> name = ParseName(text);
    if (!name) return name.error();

    auto& target = get_member(settings);
    target = std::remove_reference_t<decltype(target)>(*name);
    return Error{};
  };
}

Error StoreSeeds(std::string_view text, DaemonSettings& settings) {
  for (const auto part : absl::StrSplit(absl::string_view(text.data(), text.size()),
                                        absl::ByAnyChar(", "), absl::SkipEmpty())) {
    const Result<Address> seed = ReadAddress(std::string_view(part.data(), part.size()));
    if (!seed) return seed.error();

    settings.control.seeds.push_back(*seed);
  }

  return Error{};
}

/// Returns an accessor of a nested member of the settings. The arguments are the member pointers
/// on the path to it.
template <typename... Members>
auto MemberAt(Members... members) {
  return [=](DaemonSettings & settings) -> auto& { return (settings.*....*members); };
}

constexpr Millis kMinute = Millis(60'000);
constexpr std::string_view kAddressFormat = "IP number and port, such as 127.0.0.1:8080";
constexpr std::string_view kNameFormat = "letters, digits, '-', '_', '.'";

// The table exists until the process ends. The analyzer falsely reports the state that its
// functions capture as leaked.
// NOLINTBEGIN(clang-analyzer-cplusplus.NewDeleteLeaks)
const std::vector<Setting>& Table() {
  static const std::vector<Setting> table = {
      {"entry.name", true, kNameFormat,
       Name(MemberAt(&DaemonSettings::control, &ControlSettings::identity, &EntryIdentity::entry))},
      {"entry.data_centre", true, kNameFormat,
       Name(MemberAt(&DaemonSettings::control, &ControlSettings::identity,
                     &EntryIdentity::data_centre))},
      {"entry.ordinal", true, "0 to 63, below entry.entries_per_data_centre",
       Number(MemberAt(&DaemonSettings::control, &ControlSettings::entry_ordinal), 0, 63)},
      {"entry.entries_per_data_centre", true, "1 to 64, at most upstreams.slots",
       Number(MemberAt(&DaemonSettings::control, &ControlSettings::entries_per_data_centre), 1,
              64)},

      {"listen.callers", true, kAddressFormat,
       IpAddress(MemberAt(&DaemonSettings::traffic, &TrafficSettings::listen))},
      {"listen.operators", true, kAddressFormat,
       IpAddress(MemberAt(&DaemonSettings::control, &ControlSettings::identity,
                          &EntryIdentity::operator_address))},
      {"listen.peers", true, kAddressFormat,
       IpAddress(MemberAt(&DaemonSettings::control, &ControlSettings::identity,
                          &EntryIdentity::peer_address))},

      {"peers.seeds", false, "addresses of other entries, separated by commas", StoreSeeds},
      {"peers.heartbeat_interval", false, "50ms to 10s",
       Duration(MemberAt(&DaemonSettings::control, &ControlSettings::heartbeat_interval),
                Millis(50), Millis(10'000))},
      {"peers.timeout", false, "200ms to 1min, at least twice peers.heartbeat_interval",
       Duration(MemberAt(&DaemonSettings::control, &ControlSettings::peer_timeout), Millis(200),
                kMinute)},

      {"platform.kv", true, kAddressFormat,
       IpAddress(MemberAt(&DaemonSettings::platform, &PlatformSettings::kv))},
      {"platform.vm_list", true, kAddressFormat,
       IpAddress(MemberAt(&DaemonSettings::platform, &PlatformSettings::vm_list))},
      {"platform.call_timeout", false, "50ms to 1min",
       Duration(MemberAt(&DaemonSettings::platform, &PlatformSettings::call_timeout), Millis(50),
                kMinute)},
      {"platform.watch_timeout", false, "500ms to 1min",
       Duration(MemberAt(&DaemonSettings::platform, &PlatformSettings::watch_timeout), Millis(500),
                kMinute)},
      {"platform.vm_list_interval", false, "50ms to 1min",
       Duration(MemberAt(&DaemonSettings::platform, &PlatformSettings::vm_list_interval),
                Millis(50), kMinute)},
      {"platform.kv_threads", false, "1 to 64",
       Number(MemberAt(&DaemonSettings::platform, &PlatformSettings::kv_threads), 1, 64)},

      {"workers.timeout", false, "50ms to 1min",
       Duration(MemberAt(&DaemonSettings::platform, &PlatformSettings::worker_timeout), Millis(50),
                kMinute)},
      {"workers.threads", false, "1 to 256",
       Number(MemberAt(&DaemonSettings::platform, &PlatformSettings::worker_threads), 1, 256)},
      {"workers.poll_interval", false, "50ms to 1min",
       Duration(MemberAt(&DaemonSettings::control, &ControlSettings::worker_poll_interval),
                Millis(50), kMinute)},
      {"workers.task_lease", false, "500ms to 10min, at least three times workers.poll_interval",
       Duration(MemberAt(&DaemonSettings::control, &ControlSettings::task_lease), Millis(500),
                kMinute * 10)},
      {"workers.clock_margin", false, "0ms to 1min",
       Duration(MemberAt(&DaemonSettings::control, &ControlSettings::clock_margin), Millis(0),
                kMinute)},
      {"workers.capacity_reserve", false, "0 to 1",
       Share(MemberAt(&DaemonSettings::control, &ControlSettings::capacity_reserve))},

      {"jobs.completion_interval", false, "0ms to 1min",
       Duration(MemberAt(&DaemonSettings::control, &ControlSettings::completion_interval),
                Millis(0), kMinute)},
      {"jobs.most_attempts", false, "1 to 1000",
       Number(MemberAt(&DaemonSettings::control, &ControlSettings::max_attempts), 1, 1'000)},

      {"upstreams.connections", false, "1 to 65536",
       Number(MemberAt(&DaemonSettings::control, &ControlSettings::upstream_connections), 1,
              65'536)},
      {"upstreams.slots", false, "1 to 65536",
       Number(MemberAt(&DaemonSettings::control, &ControlSettings::upstream_slots), 1, 65'536)},

      {"traffic.threads", false, "1 to 1024",
       Number(MemberAt(&DaemonSettings::traffic, &TrafficSettings::threads), 1, 1'024)},
      {"traffic.largest_request", false, "1B to 64MiB",
       Bytes(MemberAt(&DaemonSettings::traffic, &TrafficSettings::largest_request), 1, 67'108'864)},
      {"traffic.largest_answer", false, "1B to 64MiB",
       Bytes(MemberAt(&DaemonSettings::traffic, &TrafficSettings::largest_answer), 1, 67'108'864)},
      {"traffic.connect_timeout", false, "10ms to 1min",
       Duration(MemberAt(&DaemonSettings::traffic, &TrafficSettings::connect_timeout), Millis(10),
                kMinute)},
      {"traffic.idle_age_limit", false, "0ms to 10min",
       Duration(MemberAt(&DaemonSettings::traffic, &TrafficSettings::idle_age_limit), Millis(0),
                kMinute * 10)},
      {"traffic.queue_timeout", false, "0ms to 1min",
       Duration(MemberAt(&DaemonSettings::traffic, &TrafficSettings::queue_timeout), Millis(0),
                kMinute)},
      {"traffic.queue_length", false, "0 to 65536",
       Number(MemberAt(&DaemonSettings::traffic, &TrafficSettings::queue_length), 0, 65'536)},

      {"shutdown.grace", false, "0ms to 1min",
       Duration(MemberAt(&DaemonSettings::control, &ControlSettings::shutdown_grace), Millis(0),
                kMinute)},
  };

  return table;
}
// NOLINTEND(clang-analyzer-cplusplus.NewDeleteLeaks)

constexpr auto kJointRules = std::to_array<JointRule>({
    {"entry.ordinal", "below entry.entries_per_data_centre",
     [](const DaemonSettings& settings) {
       return settings.control.entry_ordinal < settings.control.entries_per_data_centre;
     }},
    // With fewer slots or connections than entries, some entry would have none for an upstream.
    {"entry.entries_per_data_centre", "at most upstreams.slots and upstreams.connections",
     [](const DaemonSettings& settings) {
       return settings.control.entries_per_data_centre <=
              std::min(settings.control.upstream_slots, settings.control.upstream_connections);
     }},
    {"peers.timeout", "at least twice peers.heartbeat_interval",
     [](const DaemonSettings& settings) {
       return settings.control.peer_timeout >= settings.control.heartbeat_interval * 2;
     }},
    {"workers.task_lease", "at least three times workers.poll_interval",
     [](const DaemonSettings& settings) {
       return settings.control.task_lease >= settings.control.worker_poll_interval * 3;
     }},
});

std::string_view SectionOf(std::string_view key) { return key.substr(0, key.find('.')); }

}  // namespace

std::span<const Setting> SettingTable() { return Table(); }

std::span<const JointRule> JointRules() { return kJointRules; }

const Setting* FindSetting(std::string_view key) {
  const auto found = std::ranges::find(Table(), key, &Setting::key);

  return found == Table().end() ? nullptr : &*found;
}

std::string KeysOfSection(std::string_view key) {
  std::string keys;
  std::set<std::string_view> sections;

  for (const Setting& setting : Table()) {
    sections.insert(SectionOf(setting.key));
    if (SectionOf(setting.key) != SectionOf(key)) continue;

    if (!keys.empty()) keys += ", ";
    keys += setting.key;
  }

  if (!keys.empty()) return keys;

  for (const std::string_view section : sections) {
    keys += (keys.empty() ? "[" : ", [") + std::string(section) + "]";
  }

  return keys;
}

}  // namespace currantpost
