#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/model/vm.h"
#include "process.h"

namespace currantpost::demo {

/// Where the programs are.
struct Programs {
  std::string entry;
  std::string platform;
  std::string vm;
};

/// One running entry.
struct Entry {
  std::string name;
  std::string data_centre;
  int ordinal = 0;
  Address callers;
  Address operators;
  Address peers;
  bool is_killed = false;
  std::unique_ptr<testing_support::Process> process;
};

/// Two data centres with two entries and four VMs each, and the platform, all as processes of
/// their own on the loopback address.
class Fleet {
 public:
  /// The VMs take `service_time` for each request.
  explicit Fleet(Programs programs, Millis service_time = Millis(5));
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything and waits until all entries are ready. Says whether they are in time.
  bool Start();

  /// Kills one entry at once.
  void Kill(size_t entry);

  /// Asks the other entries to stop as planned. Returns how many ended well in time.
  int StopEntries();

  const std::vector<Entry>& Entries() const { return entries_; }
  const std::vector<VmRecord>& Vms() const { return vms_; }

  /// Returns the last lines that each entry wrote.
  std::string EntryOutput() const;

 private:
  void StartPlatform();
  void StartVms(const std::string& data_centre);
  void StartEntry(Entry& entry) const;
  void PlanEntries();
  std::string SettingsText(const Entry& entry) const;

  Programs programs_;
  Millis service_time_;
  std::string folder_;
  Address kv_;
  Address vm_list_;
  std::vector<std::unique_ptr<testing_support::Process>> stand_ins_;
  std::vector<VmRecord> vms_;
  std::vector<Entry> entries_;
};

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

}  // namespace currantpost::demo
