#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "process.h"

namespace currantpost::testing_support {

/// Where the programs are.
struct Programs {
  std::string entry;
  std::string platform;
  std::string vm;
};

/// What differs between fleets.
struct FleetOptions {
  /// How long a request takes at an upstream.
  Millis service_time = Millis(5);
};

/// One running entry.
struct Entry {
  std::string name;
  std::string data_centre;
  int ordinal = 0;
  Address callers;
  Address operators;
  Address peers;
  Address kv;
  bool is_killed = false;
  std::unique_ptr<Process> process;
};

/// Two data centres with two entries and four VMs each, and the platform, all as processes of
/// their own on the loopback address.
class Fleet {
 public:
  explicit Fleet(Programs programs, FleetOptions options = {});
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything and waits until all entries are ready. Says whether they are in time.
  bool Start();

  /// Kills one entry at once.
  void Kill(size_t entry);

  /// Starts an entry that was killed anew. Does not wait for it.
  void Restart(size_t entry);

  /// Waits until an entry tells the balancer that it is ready. Says whether it is in time.
  bool AwaitReady(size_t entry) const;

  /// Lets an entry reach the key-value service at another address, from its next start on.
  void SetKv(size_t entry, const Address& kv) { entries_[entry].kv = kv; }

  /// Makes known to `Start` what to do once the entries are planned and before they start.
  void BeforeEntries(std::function<void()> prepare) { before_entries_ = std::move(prepare); }

  /// Asks the other entries to stop as planned. Returns how many ended well in time.
  int StopEntries();

  const std::vector<Entry>& Entries() const { return entries_; }
  const std::vector<VmRecord>& Vms() const { return vms_; }
  const Address& Kv() const { return kv_; }
  const Address& VmList() const { return vm_list_; }
  /// Returns the path of an entry's settings file.
  std::string SettingsPath(size_t entry) const;

  /// Returns the last lines that each entry wrote.
  std::string EntryOutput() const;

 private:
  void StartPlatform();
  void StartVms(const std::string& data_centre);
  void StartEntry(Entry& entry) const;
  void PlanEntries();
  std::string SettingsText(const Entry& entry) const;

  Programs programs_;
  FleetOptions options_;
  std::function<void()> before_entries_;
  std::string folder_;
  Address kv_;
  Address vm_list_;
  std::vector<std::unique_ptr<Process>> stand_ins_;
  std::vector<VmRecord> vms_;
  std::vector<Entry> entries_;
};

/// Waits until a condition holds, looking again and again. Says whether it did in time.
bool WaitUntil(const std::function<bool()>& is_done, Millis deadline);

/// Says whether an entry tells the balancer that it is ready.
bool IsReady(const Address& operators);

/// The answer to one request; status 0 if none came.
struct Answer {
  int status = 0;
  nlohmann::json body;
};

/// Sends one request to the tests' or operators' side of a process.
Answer Send(const Address& address, const std::string& method, const std::string& path,
            const nlohmann::json& body = nullptr);

/// Does the same and returns the JSON of an answer with status 200, or null.
nlohmann::json Ask(const Address& address, const std::string& method, const std::string& path,
                   const nlohmann::json& body = nullptr);

}  // namespace currantpost::testing_support
